//! Sessions against stand-in members over real sockets.

mod caller;
mod doubt;
mod draining;
mod member;
mod restarts;
mod routing;
mod state;
mod tunnels;
mod wire;
mod world;
