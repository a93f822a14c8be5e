# Links between processes, and the loop that they run on.
add_library(egretswitch_transport STATIC
  src/event_loop.cc
  src/http2_pipe.cc
  src/link_hub.cc
  src/listener.cc
  src/peer_dialer.cc
  src/peer_link.cc
  src/shared_key.cc
  src/tcp_socket.cc
  src/wire_codec.cc)
target_link_libraries(egretswitch_transport PUBLIC
  egretswitch_core absl::function_ref PkgConfig::NGHTTP2)

egretswitch_test(wire_codec_test test/wire_codec_test.cc
  LIBS egretswitch_transport)
egretswitch_test(link_hub_test test/link_hub_test.cc
  LIBS egretswitch_transport)
egretswitch_test(link_stranger_test test/link_stranger_test.cc
  LIBS egretswitch_transport)
egretswitch_test(event_loop_test test/event_loop_test.cc
  LIBS egretswitch_transport)
