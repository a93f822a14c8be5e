# egretswitch_test(NAME file... LIBS lib...): one Boost.Test program, known to
# ctest under its name.
function(egretswitch_test name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  add_executable(${name} test/test_main.cc ${ARG_UNPARSED_ARGUMENTS})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(${name} PRIVATE ${ARG_LIBS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
