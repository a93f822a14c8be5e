# egretswitchd, an entry or an agent by its settings.
add_executable(egretswitchd
  src/agent_daemon.cc
  src/daemon_main.cc
  src/entry_daemon.cc
  src/link_identity.cc
  src/member_announcer.cc
  src/node_shell.cc
  src/step_agent_daemon.cc
  src/step_entry_daemon.cc
  src/store_follower.cc)
target_link_libraries(egretswitchd PRIVATE
  egretswitch_adapter egretswitch_agent egretswitch_entry egretswitch_http
  egretswitch_platform egretswitch_settings egretswitch_transport)
target_compile_definitions(egretswitchd PRIVATE
  EGRETSWITCH_VERSION="${PROJECT_VERSION}")
