#include "hawthornstall/runtime/loop_task.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

namespace hawthornstall::runtime {
namespace {

/// Adds up messages and reports the sum once the expected number has arrived.
class counting_logic {
public:
    using message = std::size_t;

    counting_logic(std::size_t expected, std::promise<std::size_t> done)
        : expected_(expected), done_(std::move(done)) {}

    void attach(event_loop& /*loop*/) {}

    void handle(std::size_t value) {
        sum_ += value;
        if (++received_ == expected_) {
            done_.set_value(sum_);
        }
    }

private:
    std::size_t expected_;
    std::promise<std::size_t> done_;
    std::size_t received_ = 0;
    std::size_t sum_ = 0;
};

struct sender_case {
    std::size_t senders;
    std::size_t messages_each;
};

// Guards against a lost wakeup: a message that is queued while the receiver empties the mailbox
// must not stay there undelivered.
TEST_CASE("every posted message is delivered once") {
    constexpr std::array cases{sender_case{1, 1}, sender_case{1, 10'000}, sender_case{4, 5'000}};
    for (const auto& test : cases) {
        const std::size_t total = test.senders * test.messages_each;
        std::promise<std::size_t> done;
        auto sum = done.get_future();
        auto inbox = make_mailbox<std::size_t>(total);
        loop_task<counting_logic> task{inbox, total, std::move(done)};
        std::vector<std::thread> senders;
        for (std::size_t sender = 0; sender < test.senders; ++sender) {
            senders.emplace_back([&] {
                for (std::size_t count = 0; count < test.messages_each; ++count) {
                    CHECK(inbox->post(std::size_t{1}));
                }
            });
        }
        for (auto& sender : senders) {
            sender.join();
        }
        CHECK(sum.get() == total);
    }
}

/// Throws in attach(), like a logic whose address is in use.
class failing_logic {
public:
    using message = int;
    void attach(event_loop& /*loop*/) { throw std::runtime_error{"address in use"}; }
    void handle(int /*value*/) {}
};

// Guards against a process that exits without giving the reason when its address is in use.
TEST_CASE("the constructor rethrows the exception of attach()") {
    CHECK_THROWS_WITH_AS(loop_task<failing_logic>{make_mailbox<int>(1)}, "address in use",
                         std::runtime_error);
}

/// Records that it was attached, or throws in attach().
class attaching_logic {
public:
    using message = int;

    attaching_logic(bool fails, std::shared_ptr<bool> attached)
        : fails_(fails), attached_(std::move(attached)) {}

    void attach(event_loop& /*loop*/) {
        if (fails_) {
            throw std::runtime_error{"address in use"};
        }
        *attached_ = true;
    }

    void handle(message /*unused*/) {}

private:
    bool fails_;
    std::shared_ptr<bool> attached_;
};

// Guards against a constructor that returns before the sockets and timers are registered, and
// against a daemon that exits without reporting why a socket could not be opened.
TEST_CASE("the constructor returns after attach() and fails if it throws") {
    for (const bool fails : {false, true}) {
        const auto attached = std::make_shared<bool>(false);
        const auto start = [&] {
            const loop_task<attaching_logic> task{make_mailbox<int>(1), fails, attached};
        };
        if (fails) {
            CHECK_THROWS_AS(start(), std::runtime_error);
        } else {
            start();
        }
        CHECK(*attached != fails);
    }
}

// Guards against unbounded memory use under overload, and against messages that are accepted after
// shutdown and never processed.
TEST_CASE("a full or closed mailbox refuses messages") {
    mailbox<int> inbox{2};
    CHECK(inbox.post(1));
    CHECK(inbox.post(2));
    CHECK_FALSE(inbox.post(3));
    CHECK(inbox.take_all() == std::vector<int>{1, 2});
    inbox.close();
    CHECK_FALSE(inbox.post(4));
}

} // namespace
} // namespace hawthornstall::runtime
