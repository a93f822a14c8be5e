# Included by the project() call of the root (build.sh): adds the targets of the
# review once all others are defined.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR}
               CALL include ${CMAKE_SOURCE_DIR}/review/targets.cmake)
