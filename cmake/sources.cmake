# sources_list(OUT FOLDER...): sets OUT to a line with the digest and the path of each
# source in the folders of SOURCE_DIR, in the order of the paths.
function(sources_list out)
  set(files CMakeLists.txt)
  foreach(folder IN LISTS ARGN)
    file(GLOB_RECURSE found RELATIVE ${SOURCE_DIR} ${SOURCE_DIR}/${folder}/*.[ch]
         ${SOURCE_DIR}/${folder}/*.cc ${SOURCE_DIR}/${folder}/*.cmake)
    list(APPEND files ${found})
  endforeach()
  list(SORT files)
  set(lines "")
  foreach(name IN LISTS files)
    file(SHA256 ${SOURCE_DIR}/${name} digest)
    list(APPEND lines "${digest} ${name}")
  endforeach()
  set(${out} "${lines}" PARENT_SCOPE)
endfunction()
