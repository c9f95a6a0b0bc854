# Placement benchmark. It runs the scheduler of the core in virtual time against simulated workers.
file(GLOB BENCH_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*.cpp)
add_library(plantainpoint_bench STATIC ${BENCH_SOURCES})
target_include_directories(plantainpoint_bench PUBLIC ${CMAKE_SOURCE_DIR}/bench PUBLIC ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(plantainpoint_bench PUBLIC plantainpoint_core yaml-cpp Threads::Threads)
target_link_libraries(plantainpoint-bench PRIVATE plantainpoint_bench)
target_link_libraries(plantainpoint-test PRIVATE plantainpoint_bench)
