# Compiler flags shared by every target.
add_library(hawthornstall_flags INTERFACE)
target_compile_options(hawthornstall_flags INTERFACE -Wall -Wextra)
if(HAWTHORNSTALL_WERROR)
    target_compile_options(hawthornstall_flags INTERFACE -Werror)
endif()
if(HAWTHORNSTALL_SANITIZE)
    target_compile_options(hawthornstall_flags INTERFACE
        -fsanitize=${HAWTHORNSTALL_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(hawthornstall_flags INTERFACE -fsanitize=${HAWTHORNSTALL_SANITIZE})
endif()

# hawthornstall_library(<area> [DEPENDS <targets>...])
# Builds the sources of one area folder as a library; a folder without sources is header-only.
function(hawthornstall_library area)
    cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    set(target hawthornstall_${area})
    if(sources)
        add_library(${target} STATIC ${sources})
        target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(${target} PUBLIC ${arg_DEPENDS} PRIVATE hawthornstall_flags)
    else()
        add_library(${target} INTERFACE)
        target_include_directories(${target} INTERFACE ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(${target} INTERFACE ${arg_DEPENDS})
    endif()
    add_library(hawthornstall::${area} ALIAS ${target})
endfunction()

# hawthornstall_program(<name> [DEPENDS <targets>...])
# Builds the sources of the current folder as an executable in bin/ of the build folder.
function(hawthornstall_program name)
    cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} hawthornstall_flags)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Builds all unit tests. The sanitizer builds use this target to skip programs, tools and
# benchmarks.
add_custom_target(unit_tests)

# hawthornstall_test(<area> [DEPENDS <targets>...])
# Builds tests/hawthornstall/<area>/*.cpp as one doctest program, which may run for up to 300 s.
function(hawthornstall_test area)
    cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${area}/*.cpp)
    if(NOT sources)
        return()
    endif()
    set(target ${area}_test)
    add_executable(${target} ${sources} ${PROJECT_SOURCE_DIR}/tests/main.cpp)
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${target} PRIVATE
        hawthornstall::${area} ${arg_DEPENDS} doctest::doctest hawthornstall_flags)
    add_dependencies(unit_tests ${target})
    add_test(NAME ${target} COMMAND ${target})
    set_tests_properties(${target} PROPERTIES TIMEOUT 300)
endfunction()
