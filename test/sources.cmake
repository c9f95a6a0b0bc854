# All files test/*_test.cpp make up one test program.
find_package(Boost 1.81 REQUIRED COMPONENTS unit_test_framework)
find_package(rapidcheck REQUIRED)
file(GLOB TEST_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/*_test.cpp)
add_executable(plantainpoint-test ${CMAKE_SOURCE_DIR}/test/main.cpp ${TEST_SOURCES})
target_compile_definitions(plantainpoint-test PRIVATE BOOST_TEST_DYN_LINK)
target_include_directories(plantainpoint-test PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/test)
target_link_libraries(plantainpoint-test PRIVATE plantainpoint_platform plantainpoint_shell Boost::unit_test_framework rapidcheck)
add_test(NAME unit COMMAND plantainpoint-test --random=0)
