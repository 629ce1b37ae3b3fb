# Builds the daemon that is deployed on the platform. The platform bills memory, so libraries are linked statically
# where their package has an archive: then only the pages that are used count.
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR})
set(DEPLOYED
    admission/overload admission/placement admission/stated_deadlines chart/chart config/address config/index config/model config/text_file core/command_line core/compression core/digest core/error core/hash
    fleet/hub_choice fleet/hub_messages fleet/registry fleet/replica fleet/report_echoes limits/account_pools limits/probe_budget limits/retry_budget limits/token_bucket net/backend_connection_pool net/caller_session net/daemon net/daemon_program net/deadline_timer net/endpoint
    net/event_log net/gateway net/gateway_metrics net/grant_requests net/http_client net/hub_links net/message_rules net/notice_headers net/peer_link net/process_lifecycle
    net/request_attempt net/request_durations net/request_handler net/request_log net/shared_update net/status_listener net/backend_selection request/hedging request/progress request/refusal
    routing/backends routing/candidates routing/load_reading routing/server_notices)
list(TRANSFORM DEPLOYED PREPEND src/)
list(TRANSFORM DEPLOYED APPEND .cpp)
file(GLOB ADAPTER CONFIGURE_DEPENDS platform/*.cpp)
add_executable(zinniaferry-platform ${DEPLOYED} src/fleet/hub.capnp.c++ ${ADAPTER} ${CMAKE_BINARY_DIR}/generated/embedded.cpp)
target_include_directories(zinniaferry-platform PRIVATE src ${CMAKE_SOURCE_DIR})
target_compile_definitions(zinniaferry-platform PRIVATE ZINNIA_VERSION="${PROJECT_VERSION}" SPDLOG_HEADER_ONLY SPDLOG_FMT_EXTERNAL FMT_HEADER_ONLY)
target_compile_options(zinniaferry-platform PRIVATE -Wall -Wextra -Wno-missing-field-initializers -ffunction-sections -fdata-sections)
find_library(JSON_ARCHIVE libboost_json.a REQUIRED)
find_library(CRYPTO_ARCHIVE libcrypto.a REQUIRED)
find_library(CAPNP_ARCHIVE libcapnp.a REQUIRED)
find_library(KJ_ARCHIVE libkj.a REQUIRED)
target_link_libraries(zinniaferry-platform PRIVATE ${CAPNP_ARCHIVE} ${KJ_ARCHIVE} ${JSON_ARCHIVE} ${CRYPTO_ARCHIVE} Threads::Threads ${CMAKE_DL_LIBS})
target_link_options(zinniaferry-platform PRIVATE -Wl,--gc-sections -static-libstdc++ -static-libgcc)
