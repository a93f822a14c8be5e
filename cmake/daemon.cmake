# egretswitchd, an entry or an agent by its settings.
add_executable(egretswitchd
  src/agent_daemon.cc
  src/daemon_main.cc
  src/entry_daemon.cc
  src/node_shell.cc)
target_link_libraries(egretswitchd PRIVATE
  egretswitch_agent egretswitch_entry egretswitch_http
  egretswitch_platform egretswitch_settings egretswitch_transport)
target_compile_definitions(egretswitchd PRIVATE
  EGRETSWITCH_VERSION="${PROJECT_VERSION}")
