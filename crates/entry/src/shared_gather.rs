use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use futures::Stream;
use futures::StreamExt;
use futures::stream;
use futures::stream::SelectAll;
use tokio::task;
use tokio::time;

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RelayGroup;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::ServiceKey;

use crate::answer;
use crate::answer::Answered;
use crate::event::Event;
use crate::group_parts::GroupParts;
use crate::group_stream;
use crate::node_state::NodeState;
use crate::query::Query;
use crate::relay_client;
use crate::relay_client::LegWork;
use crate::relay_client::RelayError;
use crate::relay_client::RelayTimes;
use crate::relay_client::RelayedParts;
use crate::replica_client::OutgoingRequest;
use crate::responses;
use crate::responses::CallerResponse;

/// How the legs of a gather are shared among nodes.
pub(crate) type Plan = Vec<RelayGroup>;

type Work = Pin<Box<dyn Stream<Item = News>>>;

/// What came of some legs.
enum News {
    /// A node did not hand over any of the parts that it was asked for.
    Failed {
        error: RelayError,
        node: Arc<str>,
        work: LegWork,
    },
    /// Parts are in; the node that was asked for them, if it is another one.
    Parts {
        node: Option<Arc<str>>,
        parts: GroupParts,
    },
}

/// A gather whose legs are shared among nodes.
///
/// Each leg is with one node at a time, so that no part is counted twice: legs are taken
/// back only from a node that handed over nothing and is not listened to any more.
pub(crate) struct SharedGather {
    collected: Vec<GroupParts>,
    done: BTreeSet<usize>,
    extra_sends: u32,
    hedge_delay_us: u64,
    legs: usize,
    min_parts: usize,
    outgoing: Rc<OutgoingRequest>,
    route: Rc<Route>,
    shared: Rc<NodeState>,
    times: RelayTimes,
    work: SelectAll<Work>,
}

impl SharedGather {
    pub(crate) fn new(
        shared: &Rc<NodeState>,
        exchange: &Exchange,
        outgoing: Rc<OutgoingRequest>,
        hedge_delay_us: u64,
    ) -> Self {
        Self {
            collected: Vec::new(),
            done: BTreeSet::new(),
            extra_sends: 0,
            hedge_delay_us,
            legs: exchange.legs().count(),
            min_parts: exchange.min_parts().unwrap_or(1),
            outgoing,
            route: exchange.route().clone(),
            shared: shared.clone(),
            times: RelayTimes {
                deadline_us: exchange.deadline_us(),
                soft_deadline_us: exchange.soft_deadline_us(),
            },
            work: SelectAll::new(),
        }
    }

    /// Asks the nodes of the plan, and answers as soon as the parts allow it.
    pub(crate) async fn run(mut self, plan: Plan) -> (Outcome, CallerResponse, Answered) {
        let nodes = plan.len();
        self.start(plan);
        let soft_at = self.shared.clock.instant(self.times.soft_deadline_us);
        let deadline_at = self.shared.clock.instant(self.times.deadline_us);
        let mut due = false;
        while !(due && self.done.len() >= self.min_parts) {
            let wake_at = if due { deadline_at } else { soft_at };
            tokio::select! {
                biased;
                news = self.work.next() => match news {
                    Some(news) => self.take(news),
                    None => break,
                },
                () = time::sleep_until(wake_at) => {
                    if due {
                        break;
                    }
                    due = true;
                }
            }
            if self.done.len() == self.legs {
                break;
            }
        }
        self.answer(nodes)
    }

    fn start(&mut self, plan: Plan) {
        let services = self.route.select().services;
        for group in plan {
            match group.peer {
                None => self.work_alone(group.legs, self.route.spec.max_attempts, &[]),
                Some((name, address)) => {
                    let work = self.leg_work(group.legs, &services);
                    let request = RelayRequest {
                        address,
                        node: name,
                        outgoing: self.outgoing.clone(),
                        route: self.route.clone(),
                        shared: self.shared.clone(),
                        times: self.times,
                        work,
                    };
                    self.work.push(Box::pin(request.news()));
                }
            }
        }
    }

    /// The work of another node, with the replicas that this node uses if it takes the legs
    /// back.
    fn leg_work(&self, legs: Vec<usize>, services: &[ServiceKey]) -> LegWork {
        let now_us = self.shared.clock.now_us();
        let mut pool = self.shared.pool.borrow_mut();
        let fallback = |leg: &usize| pool.choose(now_us, services[*leg], &[]);
        LegWork {
            fallbacks: legs.iter().map(fallback).collect(),
            legs,
        }
    }

    /// Collects legs from this node, each from `max_runs` replicas at most, its fallback
    /// among them.
    fn work_alone(&mut self, legs: Vec<usize>, max_runs: u32, fallbacks: &[Option<ReplicaKey>]) {
        let exchange = Exchange::for_legs(
            self.route.clone(),
            &legs,
            max_runs,
            self.times.soft_deadline_us,
            self.times.deadline_us,
            self.hedge_delay_us,
        )
        .with_fallbacks(fallbacks);
        let query = Query::new(&self.shared, exchange, self.outgoing.clone());
        let parts = group_stream::collect(query, legs);
        let news = parts.map(|parts| News::Parts { node: None, parts });
        self.work.push(Box::pin(news));
    }

    /// Takes back the legs that have a fallback from a node that may have sent them.
    fn take_back(&mut self, work: LegWork) {
        let legs = work.legs.into_iter().zip(work.fallbacks);
        let (legs, fallbacks): (Vec<usize>, Vec<_>) =
            legs.filter(|(_, fallback)| fallback.is_some()).unzip();
        if !legs.is_empty() {
            self.work_alone(legs, 1, &fallbacks);
        }
    }

    fn take(&mut self, news: News) {
        match news {
            News::Parts { node, parts } => {
                if let Some(node) = node {
                    self.shared.peers.borrow_mut().answered(&node);
                }
                self.add(parts);
            }
            News::Failed { error, node, work } => {
                self.failed(&node, error);
                match error {
                    RelayError::Declined | RelayError::Unreachable => {
                        self.work_alone(work.legs, self.route.spec.max_attempts, &[]);
                    }
                    // The node may have sent the legs to other replicas.
                    RelayError::Lost | RelayError::Silent => self.take_back(work),
                }
            }
        }
    }

    fn add(&mut self, parts: GroupParts) {
        self.heed_leaving(&parts.head.leaving);
        self.extra_sends += parts.head.extra_sends;
        self.done.extend(&parts.head.legs);
        self.collected.push(parts);
    }

    /// Spares replicas that told another node that they leave: their answers pass through
    /// this node, too.
    fn heed_leaving(&self, ids: &[String]) {
        let notice = Notice {
            hold_off_ms: None,
            leaving: true,
        };
        for id in ids {
            let key = self.shared.pool.borrow().key_of(id);
            if let Some(key) = key {
                self.shared.apply_notice(key, notice);
            }
        }
    }

    fn failed(&self, node: &Arc<str>, error: RelayError) {
        self.shared.metrics.relay_failures.inc();
        if error != RelayError::Declined {
            let now_us = self.shared.clock.now_us();
            self.shared.peers.borrow_mut().suspect(now_us, node);
        }
        self.shared.log(&Event::Relay {
            peer: node,
            reason: format!("{error:?}"),
            request_id: self.outgoing.request_id.to_str().unwrap_or(""),
        });
    }

    fn answer(self, nodes: usize) -> (Outcome, CallerResponse, Answered) {
        let missing = self.legs - self.done.len();
        let answered = Answered {
            extra_sends: self.extra_sends,
            legs: self.legs,
            missing: self.missing(),
            nodes,
        };
        if self.done.len() >= self.min_parts {
            let top_records = answer::top_records(&self.route);
            if let Some(response) = responses::joined(&self.collected, missing, top_records) {
                return (Outcome::Gather { missing }, response, answered);
            }
        }
        let passed = self.shared.clock.now_us() >= self.times.deadline_us;
        let reason = if passed {
            GiveUpReason::DeadlinePassed
        } else {
            GiveUpReason::TooFewParts
        };
        (Outcome::GiveUp(reason), answer::give_up(reason), answered)
    }

    /// Services whose parts are not in.
    fn missing(&self) -> Vec<String> {
        let pool = self.shared.pool.borrow();
        let services = self.route.select().services;
        let left_out = services.iter().enumerate();
        left_out
            .filter(|(leg, _)| !self.done.contains(leg))
            .map(|(_, service)| pool.service_name(*service).to_string())
            .collect()
    }
}

/// Legs that another node is asked for.
struct RelayRequest {
    address: SocketAddr,
    node: Arc<str>,
    outgoing: Rc<OutgoingRequest>,
    route: Rc<Route>,
    shared: Rc<NodeState>,
    times: RelayTimes,
    work: LegWork,
}

/// How far the work at another node is.
enum RelayProgress {
    Ended,
    /// Some parts were handed over.
    Handing(RelayedParts, Arc<str>),
    NotAsked(RelayRequest),
}

impl RelayRequest {
    /// Asks the node, and hands over its parts as they come.
    ///
    /// A failure after the first parts only ends them: those legs stay without a part.
    fn news(self) -> impl Stream<Item = News> {
        stream::unfold(RelayProgress::NotAsked(self), |progress| async move {
            match progress {
                RelayProgress::Ended => None,
                RelayProgress::NotAsked(request) => Some(request.ask().await),
                RelayProgress::Handing(relayed, node) => hand_over(relayed, node).await,
            }
        })
    }

    async fn ask(self) -> (News, RelayProgress) {
        let asked = relay_client::ask(
            &self.shared,
            self.address,
            &self.route,
            &self.work,
            &self.outgoing,
            self.times,
        );
        let mut relayed = match asked.await {
            Ok(relayed) => relayed,
            Err(error) => return (self.failure(error), RelayProgress::Ended),
        };
        match relayed.next().await {
            Ok(Some(parts)) => handed_over(parts, relayed, self.node),
            Ok(None) => (self.failure(RelayError::Lost), RelayProgress::Ended),
            Err(error) => (self.failure(error), RelayProgress::Ended),
        }
    }

    fn failure(self, error: RelayError) -> News {
        News::Failed {
            error,
            node: self.node,
            work: self.work,
        }
    }
}

async fn hand_over(mut relayed: RelayedParts, node: Arc<str>) -> Option<(News, RelayProgress)> {
    match relayed.next().await {
        Ok(Some(parts)) => Some(handed_over(parts, relayed, node)),
        Ok(None) => None,
        Err(error) => {
            log::debug!("node {node} ended its parts: {error:?}");
            None
        }
    }
}

fn handed_over(parts: GroupParts, relayed: RelayedParts, node: Arc<str>) -> (News, RelayProgress) {
    let progress = if parts.head.last {
        task::spawn_local(relayed.finish());
        RelayProgress::Ended
    } else {
        RelayProgress::Handing(relayed, node.clone())
    };
    let news = News::Parts {
        node: Some(node),
        parts,
    };
    (news, progress)
}
