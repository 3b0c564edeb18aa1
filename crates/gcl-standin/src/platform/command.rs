//! The `platform` command: runs the stand-in in a process of its own.

use super::{
    load,
    server::{Options, Server},
};
use eyre::Result;
use std::path::Path;

/// Serves until the process is terminated; prints the address once it listens.
///
/// # Errors
/// An option is invalid, the file cannot be loaded or the address cannot be bound.
pub fn run(arguments: &[String]) -> Result<()> {
    let mut flags = getopts::Options::new();
    flags.optflag("h", "help", "print this help");
    flags.optopt("", "listen", "listen address, 127.0.0.1:0 by default", "IP:PORT");
    flags.optopt("", "load", "configuration objects to load into the store", "FILE");
    let matches = flags.parse(arguments)?;
    if matches.opt_present("help") {
        print!("{}", flags.usage("goldcrest-standin platform [options]"));
        return Ok(());
    }
    let mut options = Options::default();
    if let Some(listen) = matches.opt_str("listen") {
        options.listen = listen.parse()?;
    }
    if let Some(file) = matches.opt_str("load") {
        let count = load::load(&options.platform, Path::new(&file))?;
        println!("loaded {count} objects");
    }
    let server = Server::start(options)?;
    println!("listening on {}", server.address());
    server.wait();
    Ok(())
}
