# Run with -P before each build. make takes an object for current that is newer than its
# source, also where a copied tree has brought another source with an older time: the
# program then is that of the former source. Removes the objects that are newer than a
# source whose content has changed since the last build in BINARY_DIR.
cmake_minimum_required(VERSION 3.18)

include(${CMAKE_CURRENT_LIST_DIR}/sources.cmake)

set(RECORD ${BINARY_DIR}/sources.txt)

sources_list(lines src platform standins bench tests)
set(changed "${lines}")
if(EXISTS ${RECORD})
  file(STRINGS ${RECORD} built)
  list(REMOVE_ITEM changed ${built})
endif()
if(changed)
  list(TRANSFORM changed REPLACE "^[0-9a-f]+ " "${SOURCE_DIR}/")
  file(GLOB_RECURSE objects ${BINARY_DIR}/*.o)
  set(removed 0)
  foreach(object IN LISTS objects)
    foreach(source IN LISTS changed)
      if(${object} IS_NEWER_THAN ${source})
        file(REMOVE ${object})
        math(EXPR removed "${removed} + 1")
        break()
      endif()
    endforeach()
  endforeach()
  if(removed)
    message(STATUS "removed ${removed} objects that are newer than changed sources")
  endif()
  string(REPLACE ";" "\n" text "${lines}")
  file(WRITE ${RECORD} "${text}\n")
endif()
