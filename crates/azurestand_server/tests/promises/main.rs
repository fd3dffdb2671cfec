//! The promises of the system, one module each, each with the failure caused on
//! purpose between real daemons and stand-ins on loopback. The list stands in
//! [docs/PROMISES.md](../../../../docs/PROMISES.md).

mod answers;
mod bench;
mod centre;
mod cold;
mod configuration;
mod input;
mod not_run;
mod once;
mod stop;
mod strangers;
mod weights;
