# Defines the library persimmonstair_<name> from the *.cpp files in the current folder and, if there are
# *_test.cpp files among them, the test program <name>_test (not with
# PERSIMMONSTAIR_ENTRY_ONLY). DEPENDS names libraries of this project, LINK other libraries.
#
#   persimmonstair_library(limits DEPENDS base schema membership LINK OpenSSL::Crypto)
function(persimmonstair_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  set(tests ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  add_library(persimmonstair_${name} STATIC ${sources})
  target_include_directories(persimmonstair_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  foreach(dep ${ARG_DEPENDS})
    target_link_libraries(persimmonstair_${name} PUBLIC persimmonstair_${dep})
  endforeach()
  target_link_libraries(persimmonstair_${name} PUBLIC Threads::Threads ${ARG_LINK})
  if(tests AND NOT PERSIMMONSTAIR_ENTRY_ONLY)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE persimmonstair_${name} GTest::gmock GTest::gtest
                                               GTest::gtest_main)
    add_test(NAME ${name}_test COMMAND ${name}_test)
  endif()
endfunction()
