#include "standin_target.hpp"

#include <event2/http.h>

namespace hawthornstall::tools {

void truncate_answer(const net::http_request& request) {
    constexpr std::size_t missing_bytes = 10;
    auto* const headers = evhttp_request_get_output_headers(request.native);
    const auto stated_length = std::to_string(request.body.size() + missing_bytes);
    evhttp_add_header(headers, "Content-Length", stated_length.c_str());
    evhttp_add_header(headers, "Connection", "close");
}

} // namespace hawthornstall::tools
