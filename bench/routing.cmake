set(routing_src ${PROJECT_SOURCE_DIR}/src/persimmonstair/routing)
add_executable(routing_fuzz routing_fuzz.cpp ${routing_src}/differential_model_test.cpp
                            ${routing_src}/differential_steps_test.cpp)
target_include_directories(routing_fuzz PRIVATE ${routing_src})
target_link_libraries(routing_fuzz PRIVATE persimmonstair_routing)
