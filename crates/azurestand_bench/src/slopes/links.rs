//! Idle links, reports and pieces of answers over loopback.

use std::io;
use std::time::{Duration, Instant};

use azurestand_types::{DataCentre, HostName, Incarnation};
use azurestand_wire::{Body, Identity, Link, Ping, Purpose, Role, accept, connect};
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::fit::{Point, Slope};
use super::frames::{key, length, part, report};
use super::usage::{processor_micros, resident_kb};

/// Heartbeats a second that each end of an idle link sends.
const HEARTBEATS: f64 = 2.0;
/// Targets of one host at the planned size: 890 before 270 agents.
const TARGETS: u32 = 3;
/// Bytes of one token's record in a streamed completion.
const TOKEN_BYTES: u32 = 160;

pub(super) async fn measure(short: bool) -> io::Result<Vec<Slope>> {
    let mut slopes = idle(short).await?;
    let scale = if short { 1 } else { 4 };
    let counts = [5_000, 10_000, 20_000, 40_000].map(|count| count * scale);
    slopes.push(
        sent(
            "reports one by one, both ends",
            "report",
            &counts,
            report(TARGETS),
            1,
        )
        .await?,
    );
    slopes.push(
        sent(
            "tokens one by one, both ends",
            "token",
            &counts,
            part(TOKEN_BYTES),
            1,
        )
        .await?,
    );
    slopes.push(
        sent(
            "tokens 64 at once, both ends",
            "token",
            &counts.map(|count| 4 * count),
            part(TOKEN_BYTES),
            64,
        )
        .await?,
    );
    let pieces = [64, 128, 256, 512].map(|count| count * scale);
    slopes.push(
        sent(
            "pieces of 1 MiB, both ends",
            "MiB",
            &pieces,
            part(1 << 20),
            4,
        )
        .await?,
    );
    Ok(slopes)
}

/// Links that carry heartbeats alone; both ends are this process.
async fn idle(short: bool) -> io::Result<Vec<Slope>> {
    let span = Duration::from_secs(if short { 2 } else { 4 });
    let (mut cpu, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    let mut links = Vec::new();
    let before = resident_kb();
    for count in [32_u32, 64, 128, 256] {
        while links.len() < 2 * count as usize {
            let (left, right) = pair().await?;
            links.extend([left, right]);
        }
        let ends = f64::from(2 * count);
        sleep(Duration::from_millis(600)).await;
        let (time, start) = (processor_micros(), Instant::now());
        sleep(span).await;
        let busy = (processor_micros() - time) / start.elapsed().as_secs_f64();
        cpu.push(Point { x: ends, y: busy });
        memory.push(Point {
            x: ends,
            y: resident_kb() - before,
        });
        // The least a link sends; computed from the frame, not read from the network.
        let beats = ends * HEARTBEATS * length(Body::Ping(Ping {}));
        bytes.push(Point { x: ends, y: beats });
    }
    let open = links.iter().all(|link| !link.outbox.is_closed());
    if !open {
        return Err(io::Error::other("an idle link ended while it was measured"));
    }
    Ok(vec![
        Slope::fit("idle links, a second", "us CPU", "link end", cpu),
        Slope::fit("memory of idle links", "KiB", "link end", memory),
        Slope::fit("heartbeats, a second", "B", "link end", bytes),
    ])
}

/// Sends `body` so many times; after `batch` of them it waits until all arrived.
async fn sent(name: &str, each: &str, counts: &[u32], body: Body, batch: u32) -> io::Result<Slope> {
    let (left, mut right) = pair().await?;
    let mut points = Vec::new();
    for &count in counts {
        let before = processor_micros();
        for _ in 0..count / batch {
            for _ in 0..batch {
                left.outbox
                    .send(body.clone())
                    .await
                    .map_err(io::Error::other)?;
            }
            for _ in 0..batch {
                let closed = || io::Error::other("the measured link ended");
                right.inbox.receive().await.ok_or_else(closed)?;
            }
        }
        points.push(Point {
            x: f64::from(count),
            y: processor_micros() - before,
        });
    }
    Ok(Slope::fit(name, "us CPU", each, points))
}

async fn pair() -> io::Result<(Link, Link)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (ours, theirs) = (identity("left"), identity("right"));
    let key = key();
    let accepting = async {
        let (stream, _) = listener.accept().await?;
        accept(stream, &key, &theirs)
            .await
            .map_err(io::Error::other)
    };
    let connecting = connect(address, &key, &ours, Purpose::Control);
    let (left, right) = tokio::join!(connecting, accepting);
    Ok((left.map_err(io::Error::other)?, right?))
}

fn identity(host: &str) -> Identity {
    Identity {
        host: HostName::try_from(host).expect("a name"),
        incarnation: Incarnation(1),
        role: Role::Agent,
        centre: DataCentre::try_from("tov").expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
    }
}
