#pragma once

/// Bounded message queue between loop tasks.

#include "hawthornstall/runtime/wakeup.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace hawthornstall::runtime {

/// Queue with many senders and one receiver. A full or closed mailbox refuses messages instead of
/// blocking the sender.
template <class Message> class mailbox {
public:
    explicit mailbox(std::size_t capacity) : capacity_(capacity) {}

    /// Queues `message` and wakes the receiver. When the mailbox is full or closed, returns false
    /// and leaves `message` unchanged.
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
        // One signal per batch suffices, since the receiver takes all messages at once.
        if (was_empty) {
            wakeup_.signal();
        }
        return true;
    }

    /// Removes and returns all queued messages, in order. Only the receiver may call it.
    [[nodiscard]] std::vector<Message> take_all() {
        // Cleared before the swap: clearing afterwards could discard the signal of a message that
        // was posted in between.
        wakeup_.clear();
        std::vector<Message> taken;
        const std::lock_guard lock{mutex_};
        taken.swap(messages_);
        return taken;
    }

    /// Makes post() refuse all further messages. Queued messages stay.
    void close() {
        const std::lock_guard lock{mutex_};
        closed_ = true;
    }

    /// File descriptor that is readable while messages are queued.
    [[nodiscard]] int descriptor() const noexcept { return wakeup_.descriptor(); }

private:
    const std::size_t capacity_;
    wakeup wakeup_;
    std::mutex mutex_;
    std::vector<Message> messages_;
    bool closed_ = false;
};

/// Shared ownership of a mailbox, held by its senders and its receiver.
template <class Message> using address = std::shared_ptr<mailbox<Message>>;

/// Creates a mailbox that holds at most `capacity` messages.
template <class Message> [[nodiscard]] address<Message> make_mailbox(std::size_t capacity) {
    return std::make_shared<mailbox<Message>>(capacity);
}

} // namespace hawthornstall::runtime
