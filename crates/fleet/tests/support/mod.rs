//! Sites to break, callers that choose their entry host, and what must hold at the end.

use config::Policy;
use domain::{Connections, Millis, Slots};
use fleet::{
    Binaries, Distribution, LIMIT, Profile, ServicePlan, Site, SitePlan, UpstreamPlan, wait_until,
};
use load::{Answer, Request, Verdict, judge};
use reqwest::header::HeaderMap;
use std::collections::BTreeMap;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;

/// Time that callers give; configurations give each call as much.
pub const TIMEOUT_MS: Millis = Millis(2000);

const CALLER: &str = "clinic";
const BODY_BYTES: usize = 1000;

/// One site at a time: each has about ten processes.
static ONE_SITE: Mutex<()> = Mutex::const_new(());
static BINARIES: OnceLock<Binaries> = OnceLock::new();

/// A site, and callers who remember what they asked and were told.
pub struct Trial {
    pub site: Site,
    pub asked: Vec<Asked>,
    http: reqwest::Client,
    next_key: AtomicU64,
    _alone: MutexGuard<'static, ()>,
}

/// One request at one entry host, and how it ended.
#[derive(Debug)]
pub struct Asked {
    pub key: String,
    pub verdict: Verdict,
}

/// Plan of three entry hosts before one service.
pub fn plan(service_time_ms: Millis, relayed: bool) -> SitePlan {
    let upstream = UpstreamPlan {
        slots: Slots(6),
        connections: Connections(250),
        queue: 12,
        service_time_ms,
        distribution: Distribution::Fixed,
        cold_start_ms: Millis::ZERO,
        drain_notice_ms: Millis(1000),
    };
    SitePlan {
        site: "dar-es-salaam".parse().unwrap(),
        availability_zones: vec!["kariakoo".parse().unwrap(), "msasani".parse().unwrap()],
        entry_hosts: 3,
        drain_notice_ms: Millis(1000),
        policy: Policy::default(),
        zone_delay_ms: Millis::ZERO,
        relayed,
        services: vec![ServicePlan { service: "portal".parse().unwrap(), upstreams: 4, upstream }],
    }
}

impl Trial {
    /// Builds the binaries once, and starts a site when no other one runs.
    pub async fn start(plan: SitePlan) -> Trial {
        let alone = ONE_SITE.lock().await;
        let binaries = BINARIES.get_or_init(|| Binaries::build(Profile::Tests).unwrap()).clone();
        // No pool: a request never meets a connection of a process that has ended.
        let http = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .http1_only()
            .pool_max_idle_per_host(0)
            .timeout(LIMIT)
            .build()
            .unwrap();
        let site = Site::start(binaries, plan).await.unwrap();
        Trial { site, asked: Vec::new(), http, next_key: AtomicU64::new(1), _alone: alone }
    }

    /// Keys that nobody has used.
    pub fn fresh_keys(&self, count: u64) -> Vec<String> {
        let first = self.next_key.fetch_add(count, Ordering::Relaxed);
        (first..first + count).map(|number| format!("order-{number}")).collect()
    }

    /// Sends an order of each key to an entry host, all at once.
    pub fn send_orders(&self, host: usize, keys: &[String]) -> Vec<JoinHandle<Asked>> {
        let path = self.site.plan.services[0].order_path();
        keys.iter().map(|key| self.send(host, request(key, path.clone(), true))).collect()
    }

    /// Waits for the ends of orders, and remembers them.
    pub async fn note(&mut self, orders: Vec<JoinHandle<Asked>>) {
        for order in orders {
            self.asked.push(order.await.unwrap());
        }
    }

    /// Sends orders and waits for their ends.
    pub async fn order(&mut self, host: usize, keys: &[String]) {
        let orders = self.send_orders(host, keys);
        self.note(orders).await;
    }

    /// Asks for fresh orders until an entry host has one answered; returns its key.
    pub async fn serves_orders(&mut self, host: usize) -> String {
        let mut ended = Vec::<Asked>::new();
        let condition = format!("entry host {host} serves an order");
        let served = wait_until(&condition, LIMIT, async || {
            let order = self.send_orders(host, &self.fresh_keys(1)).pop().unwrap();
            ended.push(order.await.unwrap());
            ended.last().is_some_and(|asked| asked.verdict == Verdict::Answered)
        });
        served.await.unwrap();
        let key = ended.last().unwrap().key.clone();
        self.asked.extend(ended);
        key
    }

    /// Asks for reads until an entry host has one answered; none may be lost or wrong.
    pub async fn serves_reads(&self, host: usize) {
        let path = self.site.plan.services[0].read_path();
        let condition = format!("entry host {host} serves a read");
        let served = wait_until(&condition, LIMIT, async || {
            let read = self.send(host, request("read", path.clone(), false)).await.unwrap();
            assert!(is_whole(&read.verdict), "entry host {host}: {read:?}");
            read.verdict == Verdict::Answered
        });
        served.await.unwrap();
    }

    /// How often each key ran, over all upstreams.
    pub async fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for (key, count) in self.site.ledgers().await.unwrap().into_iter().flatten() {
            *runs.entry(key).or_default() += count;
        }
        runs
    }

    /// Waits until an upstream has begun one of the orders.
    pub async fn runs_one_of(&self, keys: &[String]) {
        let begun = async || {
            let runs = self.runs().await;
            keys.iter().any(|key| runs.contains_key(key))
        };
        wait_until("one of the orders runs", LIMIT, begun).await.unwrap();
    }

    /// Holds what callers were told against what ran.
    pub async fn check_orders(&self) {
        let runs = self.runs().await;
        let mut told = BTreeMap::<&str, Vec<&Verdict>>::new();
        for Asked { key, verdict } in &self.asked {
            assert!(!matches!(verdict, Verdict::Wrong { .. }), "{key}: {verdict:?}");
            told.entry(key).or_default().push(verdict);
        }
        for (key, verdicts) in told {
            let count = runs.get(key).copied().unwrap_or(0);
            let answered = verdicts.iter().filter(|v| ***v == Verdict::Answered).count();
            assert!(count <= 1, "{key} ran {count} times: {verdicts:?}");
            assert!(answered as u64 <= count, "{key} was answered, ran {count}: {verdicts:?}");
            let is_told_not_run = verdicts.iter().all(|verdict| is_not_run(verdict));
            assert!(!is_told_not_run || count == 0, "{key} ran, told as not run: {verdicts:?}");
        }
    }

    fn send(&self, host: usize, request: Request) -> JoinHandle<Asked> {
        let address = self.site.entry_hosts[host].settings.caller_address;
        let url = format!("http://{address}{}", request.path);
        let builder = match request.at_most_once {
            true => self
                .http
                .post(url)
                .header("idempotency-key", &request.id)
                .body(request.body.clone()),
            false => self.http.get(url),
        };
        let builder = builder
            .header("x-request", &request.id)
            .header("x-caller", request.caller.as_str())
            .header("x-timeout-ms", request.timeout_ms.0);
        tokio::spawn(async move {
            let verdict = match answer(builder).await {
                Ok(answer) => judge(&request, &answer),
                Err(error) => Verdict::Lost { reason: format!("{error:?}") },
            };
            Asked { key: request.id, verdict }
        })
    }
}

/// Whether a whole answer came, from an upstream or the entry host itself.
pub fn is_whole(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Answered | Verdict::Refused { .. })
}

fn is_not_run(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Refused { outcome, .. } if outcome == "not-run")
}

fn request(id: &str, path: String, at_most_once: bool) -> Request {
    let size = if at_most_once { BODY_BYTES } else { 0 };
    Request {
        id: id.to_owned(),
        caller: CALLER.parse().unwrap(),
        path,
        at_most_once,
        timeout_ms: TIMEOUT_MS,
        body: id.bytes().cycle().take(size).collect(),
    }
}

async fn answer(builder: reqwest::RequestBuilder) -> reqwest::Result<Answer> {
    let response = builder.send().await?;
    let text = |headers: &HeaderMap, name: &str| {
        headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let headers = response.headers();
    Ok(Answer {
        status: response.status().as_u16(),
        cause: text(headers, "x-cause"),
        outcome: text(headers, "x-outcome"),
        upstream: text(headers, "x-upstream"),
        has_retry_after: headers.contains_key("retry-after"),
        body: response.bytes().await?.into(),
    })
}
