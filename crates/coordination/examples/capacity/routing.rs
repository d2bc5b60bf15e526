//! Routing state of one host as the back ends grow.

use std::{sync::Arc, time::Duration};

use coordination::{
    record::{Backend, Model, Role, Route},
    request::Class,
    route::{Choice, Load, Query, Router, RouterEvent, Setting},
};

use crate::report::{Series, memory, nanos, print_memory};

/// Numbers of back ends.
const BACKENDS: [usize; 3] = [30, 1_000, 12_000];

/// Choices that are measured.
const CHOICES: usize = 50_000;

fn model() -> Model {
    Model { name: "m".into(), adapter: "".into(), version: "".into() }
}

fn backend(number: usize) -> Backend {
    Backend {
        name: format!("engine-{number:05}").into(),
        address: format!("http://10.1.{}.{}:8000", number / 256, number % 256).into(),
        zone: format!("zone-{:02}", number % 17).into(),
        role: Role::Engine,
        models: vec![model()],
        slots: 64,
        fencing: true,
        leaving: false,
    }
}

fn router(backends: usize) -> Router {
    let mut router = Router::open(Setting::new("zone-01", 1));
    let mut actions = Vec::new();
    for number in 0..backends {
        router.handle(Duration::ZERO, RouterEvent::Backend(backend(number)), &mut actions);
    }
    let route = Route {
        name: "chat".into(),
        backends: (0..backends).map(|number| backend(number).name).collect(),
        model: Some(model()),
        idempotent: true,
        class: Class::Normal,
        max_tokens: 1_000,
        call_tokens: 0,
        timeout_ms: 60_000,
    };
    router.handle(Duration::ZERO, RouterEvent::Route(route), &mut actions);
    router
}

/// Prints the memory of a router of so many back ends.
pub fn memory_of(backends: usize) {
    print_memory(|| router(backends));
}

/// Measures a choice, a load report and memory.
pub fn measure() {
    println!("## routing state");
    let mut choice = Series::new("choice of a back end and its end", "back ends", "ns");
    let mut report = Series::new("load report", "back ends", "ns");
    let mut bytes = Series::new("memory of the router", "back ends", "B");
    for backends in BACKENDS {
        let mut router = router(backends);
        bytes.push(backends, memory("routing", backends));
        let mut actions = Vec::new();
        let load = Load { queued: 0, running: 8, slots: 64, leaving: false, at_ms: 0 };
        let name = |number: usize| -> Arc<str> { format!("engine-{number:05}").into() };
        report.push(
            backends,
            nanos(CHOICES, |number| {
                let event = RouterEvent::Load(name(number % backends), load);
                router.handle(Duration::ZERO, event, &mut actions);
            }),
        );
        let query = Query {
            route: "chat".into(),
            class: Class::Normal,
            starved: false,
            prefixes: Vec::new(),
            avoid: Vec::new(),
        };
        choice.push(
            backends,
            nanos(CHOICES, |_| {
                let Choice::Backend(chosen) = router.choose(Duration::ZERO, &query) else {
                    return;
                };
                router.handle(Duration::ZERO, RouterEvent::Finished(chosen), &mut actions);
            }),
        );
    }
    [choice, report, bytes].iter().for_each(Series::print);
}
