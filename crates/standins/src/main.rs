//! The stand-ins as processes.
//!
//! Prints `listening <role> <ip:port>` once it listens, and ends with 0 on SIGTERM.

use clap::{Parser, Subcommand};
use error_stack::{Report, ResultExt};
use standins::StartError;
use standins::balancer::{self, BalancerSettings};
use standins::config_service::{self, ConfigServiceSettings};
use standins::host_list::{self, HostListSettings};
use standins::upstream::{self, UpstreamSettings};
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Stand-ins for the systems around the load balancer.
#[derive(Debug, Parser)]
#[command(name = "standin", version)]
struct Cli {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// An upstream with slots, a queue and faults.
    Upstream(UpstreamSettings),
    /// The configuration service.
    ConfigService(ConfigServiceSettings),
    /// The list of entry hosts.
    HostList(HostListSettings),
    /// The platform's balancer.
    Balancer(BalancerSettings),
}

#[tokio::main]
async fn main() -> Result<(), Report<StartError>> {
    env_logger::init();
    let cli = Cli::parse();
    // From here on the signal is waited for, and no longer ends the process by itself.
    let terminate = signal(SignalKind::terminate()).change_context(StartError::Signal)?;
    run(cli.role, terminate).await
}

async fn run(role: Role, mut terminate: Signal) -> Result<(), Report<StartError>> {
    match role {
        Role::Upstream(settings) => {
            let upstream = upstream::start(settings).await?;
            announce("upstream", upstream.address);
            terminate.recv().await;
            upstream.drain().await;
        }
        Role::ConfigService(settings) => {
            let service = config_service::start(settings).await?;
            announce("config", service.address);
            terminate.recv().await;
        }
        Role::HostList(settings) => {
            let list = host_list::start(settings).await?;
            announce("hosts", list.address);
            terminate.recv().await;
        }
        Role::Balancer(settings) => {
            let balancer = balancer::start(settings).await?;
            announce("balancer", balancer.address);
            terminate.recv().await;
            balancer.stop().await;
        }
    }
    Ok(())
}

fn announce(role: &str, address: SocketAddr) {
    println!("listening {role} {address}");
}
