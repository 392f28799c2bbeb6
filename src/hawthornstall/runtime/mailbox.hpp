#pragma once

/// Bounded message queue between loop tasks.

#include "hawthornstall/runtime/wakeup.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace hawthornstall::runtime {

/// Many senders, one receiver. A full or closed mailbox refuses messages; it never blocks.
template <class Message> class mailbox {
public:
    explicit mailbox(std::size_t capacity) : capacity_(capacity) {}

    /// Queues `message` and wakes the receiver. Returns false, leaving `message` unused, when the
    /// mailbox is full or closed.
    [[nodiscard]] bool post(Message&& message) {
        bool was_empty = false;
        {
            const std::lock_guard lock{mutex_};
            if (closed_ || messages_.size() >= capacity_) {
                return false;
            }
            was_empty = messages_.empty();
            messages_.push_back(std::move(message));
        }
        // One signal per batch is enough: the receiver takes all messages at once.
        if (was_empty) {
            wakeup_.signal();
        }
        return true;
    }

    /// Takes all queued messages. Called by the receiver only.
    [[nodiscard]] std::vector<Message> take_all() {
        wakeup_.clear();
        std::vector<Message> taken;
        const std::lock_guard lock{mutex_};
        taken.swap(messages_);
        return taken;
    }

    /// Refuses messages from now on.
    void close() {
        const std::lock_guard lock{mutex_};
        closed_ = true;
    }

    /// Readable while messages wait.
    [[nodiscard]] int descriptor() const noexcept { return wakeup_.descriptor(); }

private:
    const std::size_t capacity_;
    wakeup wakeup_;
    std::mutex mutex_;
    std::vector<Message> messages_;
    bool closed_ = false;
};

/// Shared handle by which other tasks reach a mailbox.
template <class Message> using address = std::shared_ptr<mailbox<Message>>;

/// Makes a mailbox that holds at most `capacity` messages.
template <class Message> [[nodiscard]] address<Message> make_mailbox(std::size_t capacity) {
    return std::make_shared<mailbox<Message>>(capacity);
}

} // namespace hawthornstall::runtime
