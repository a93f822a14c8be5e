# Included at the project() call; the targets are added once all others exist.
cmake_language(EVAL CODE
  "cmake_language(DEFER CALL include [[${CMAKE_CURRENT_LIST_DIR}/targets.cmake]])")
