# Run with -P at each build. Writes BINARY_DIR/generated/build_info_text.h, which tells
# what the programs are built from, and only when that has changed.
cmake_minimum_required(VERSION 3.18)

include(${CMAKE_CURRENT_LIST_DIR}/sources.cmake)

set(FOLDERS src platform standins cmake)

# Commit, with "-dirty" where the sources differ from it; "unknown" where the folder is
# no work tree of its own.
function(sources_commit out)
  set(${out} unknown PARENT_SCOPE)
  set(git git --no-optional-locks -C ${SOURCE_DIR})
  execute_process(COMMAND ${git} rev-parse --show-cdup RESULT_VARIABLE failed
                  OUTPUT_VARIABLE parent ERROR_QUIET
                  OUTPUT_STRIP_TRAILING_WHITESPACE)
  if(failed OR NOT parent STREQUAL "")
    return()
  endif()
  execute_process(COMMAND ${git} rev-parse --short=8 HEAD RESULT_VARIABLE failed
                  OUTPUT_VARIABLE commit ERROR_QUIET
                  OUTPUT_STRIP_TRAILING_WHITESPACE)
  if(failed)
    return()
  endif()
  execute_process(COMMAND ${git} status --porcelain -- ${FOLDERS} CMakeLists.txt
                  RESULT_VARIABLE failed OUTPUT_VARIABLE changes ERROR_QUIET)
  if(failed OR NOT changes STREQUAL "")
    string(APPEND commit -dirty)
  endif()
  set(${out} ${commit} PARENT_SCOPE)
endfunction()

# Equal sources have the same digest in any folder, with or without a repository.
sources_list(lines ${FOLDERS})
string(SHA256 digest "${lines}")
string(SUBSTRING ${digest} 0 12 digest)
sources_commit(commit)
file(CONFIGURE OUTPUT ${BINARY_DIR}/generated/build_info_text.h CONTENT
"#define BUILD_COMMIT \"@commit@\"
#define BUILD_SOURCES \"@digest@\"
" @ONLY)
