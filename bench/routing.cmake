set(routing_src ${PROJECT_SOURCE_DIR}/src/persimmonstair/routing)
add_executable(routing_fuzz routing_fuzz.cpp ${routing_src}/differential_model_test.cpp
                            ${routing_src}/differential_steps_test.cpp)
target_include_directories(routing_fuzz PRIVATE ${routing_src})
target_link_libraries(routing_fuzz PRIVATE persimmonstair_routing)

add_executable(policy_bench policy_bench.cpp policy/workload.cpp policy/engine.cpp
                            policy/frontend.cpp policy/simulation.cpp)
target_link_libraries(policy_bench PRIVATE persimmonstair_routing)

add_executable(routing_bench routing_bench.cpp)
target_link_libraries(routing_bench PRIVATE persimmonstair_routing)
