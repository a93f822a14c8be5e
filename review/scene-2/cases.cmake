# Adds the program of the cases to the project's build: pass this file as
# CMAKE_PROJECT_egretswitch_INCLUDE. The targets that it links are defined later,
# and a deferred call expands its variables only then.
cmake_language(EVAL CODE "cmake_language(DEFER CALL include
  \"${CMAKE_CURRENT_LIST_DIR}/targets.cmake\")")
