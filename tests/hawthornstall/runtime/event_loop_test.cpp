#include "hawthornstall/runtime/event_loop.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace hawthornstall::runtime {
namespace {

// Guards against SIGPIPE ending the process. A host that was suspended for a while answers callers
// whose connections have been reset in the meantime.
TEST_CASE("a write to a closed connection returns an error and raises no signal") {
    const event_loop loop;
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    close(ends[1]);
    CHECK(write(ends[0], "a", 1) == -1);
    CHECK(errno == EPIPE);
    close(ends[0]);
}

} // namespace
} // namespace hawthornstall::runtime
