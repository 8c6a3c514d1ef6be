//! Waiting on conditions.

use crate::error::FleetError;
use domain::Millis;
use error_stack::Report;
use std::time::Duration;
use tokio::time::Instant;

/// Generous limit for anything that should come true soon.
pub const LIMIT: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(20);

/// Asks again and again until the condition holds.
///
/// # Errors
/// It does not hold within the limit.
pub async fn wait_until(
    condition: &str,
    limit: Duration,
    mut holds: impl AsyncFnMut() -> bool,
) -> Result<(), Report<FleetError>> {
    let start = Instant::now();
    while !holds().await {
        if start.elapsed() > limit {
            let limit_ms = Millis(limit.as_millis() as u64);
            let condition = condition.to_owned();
            return Err(Report::new(FleetError::TimedOut { condition, limit_ms }));
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}
