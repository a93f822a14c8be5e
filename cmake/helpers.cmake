# egretswitch_test(NAME file... LIBS lib...): one Boost.Test program, known to
# ctest under its name.
add_library(egretswitch_test_main OBJECT test/test_main.cc)
target_compile_definitions(egretswitch_test_main PUBLIC BOOST_TEST_DYN_LINK)
target_link_libraries(egretswitch_test_main PUBLIC Boost::unit_test_framework)

function(egretswitch_test name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(${name} PRIVATE ${ARG_LIBS} egretswitch_test_main)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
