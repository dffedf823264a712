# mustardplank_module(NAME DEPENDS lib...) builds libmustardplank_NAME from src/mustardplank/NAME/*.cpp and, from the
# *_test.cpp files beside them, the Boost.Test program NAME_test, which CTest runs.
function(mustardplank_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  set(dir ${PROJECT_SOURCE_DIR}/src/mustardplank/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp)
  if(NOT sources)
    return()
  endif()
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(mustardplank_${name} STATIC ${sources})
  target_compile_options(mustardplank_${name} PRIVATE -Wall -Wextra -Werror)
  target_include_directories(mustardplank_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(mustardplank_${name} PUBLIC ${ARG_DEPENDS} nlohmann_json::nlohmann_json)
  if(tests AND MUSTARDPLANK_TESTS)
    add_executable(${name}_test ${PROJECT_SOURCE_DIR}/src/mustardplank/test_main.cpp ${tests})
    target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_compile_options(${name}_test PRIVATE -Wall -Wextra -Werror)
    target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name}_test PRIVATE mustardplank_${name} Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
endfunction()

# mustardplank_embed(TARGET VARIABLE FILE) adds a source file to TARGET that defines the file's text as the constant
# mustardplank::embedded::VARIABLE, so that a program needs no data files at run time.
function(mustardplank_embed target variable file)
  set(output ${CMAKE_CURRENT_BINARY_DIR}/embedded_${variable}.cpp)
  file(READ ${file} text)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  file(CONFIGURE OUTPUT ${output} CONTENT
"#include <string_view>
namespace mustardplank::embedded {
extern const std::string_view ${variable};
const std::string_view ${variable} = R\"embedded(${text})embedded\";
}
" @ONLY)
  target_sources(${target} PRIVATE ${output})
endfunction()
