#pragma once

/// Report of a process that ends by a signal.

namespace hawthornstall::runtime {

/// Makes a process that ends by SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGTRAP or SIGABRT write the name
/// of the signal and the stack of the failing thread to standard error. The process still ends by
/// that signal. The handling of all other signals is not changed. `program_path` is `argv[0]`, and
/// must stay valid. Call it once, before the first thread is started.
void install_failure_handler(const char* program_path);

} // namespace hawthornstall::runtime
