#pragma once

/// A descriptor that one thread signals and an event loop of another thread waits for.

namespace hawthornstall::runtime {

/// Owns an eventfd.
class wakeup {
public:
    wakeup();
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;
    wakeup(wakeup&&) = delete;
    wakeup& operator=(wakeup&&) = delete;

    /// Makes the descriptor readable. Safe from any thread.
    void signal() const noexcept;

    /// Makes the descriptor unreadable again.
    void clear() const noexcept;

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

private:
    int descriptor_;
};

} // namespace hawthornstall::runtime
