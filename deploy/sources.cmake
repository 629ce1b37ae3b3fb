# The files of src/ that the deployed daemon consists of, without src/ and .cpp. Other programs have further ones. The
# ordinary build links zinniaferry-platform from these files alone, so that a missing one shows there.
set(DEPLOYED
    admission/overload admission/placement admission/prioritised_services admission/priority_admission
    admission/service_load admission/startup_wait admission/stated_deadlines admission/stop_schedule
    admission/waiting_queue
    chart/chart
    config/address config/index config/model config/text_file
    core/command_line core/compression core/digest core/error core/hash
    fleet/contact fleet/fleet_view fleet/hub_choice fleet/hub_messages fleet/load_encoding fleet/registry fleet/replica
    fleet/replica_updates fleet/report_echoes fleet/service_loads
    limits/account_pools limits/body_budget limits/connection_budget limits/probe_budget limits/retry_budget
    limits/token_bucket
    net/backend_connection_pool net/backend_selection net/body_room net/caller_session net/daemon net/daemon_program
    net/deadline_timer net/endpoint net/event_log net/gateway net/gateway_metrics net/grant_requests net/http_client
    net/hub_links net/hub_subscribers net/load_output net/message_rules net/notice_headers net/peer_link
    net/process_lifecycle net/read_header net/request_attempt net/request_durations net/request_handler net/request_log
    net/request_outcome net/service_admission net/service_waiters net/shared_update net/status_listener
    request/hedging request/progress request/refusal
    routing/backends routing/candidates routing/load_reading routing/server_notices)
