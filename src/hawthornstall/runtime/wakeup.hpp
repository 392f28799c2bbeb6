#pragma once

/// Notification from any thread to the event loop of another thread.

namespace hawthornstall::runtime {

/// Owns an eventfd, which an event loop waits for.
class wakeup {
public:
    /// Throws std::system_error when no eventfd can be created.
    wakeup();
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;
    wakeup(wakeup&&) = delete;
    wakeup& operator=(wakeup&&) = delete;

    /// Makes the descriptor readable. Safe from any thread.
    void signal() const noexcept;

    /// Makes the descriptor unreadable until the next signal().
    void clear() const noexcept;

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

private:
    int descriptor_;
};

} // namespace hawthornstall::runtime
