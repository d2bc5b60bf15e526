//! Tests of the services of a host.

use std::{cell::Cell, rc::Rc, time::Duration};

use gateway::service;
use tokio::{task::LocalSet, time::sleep};

#[test]
fn service_that_panics_runs_again_and_others_go_on() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let starts = Rc::new(Cell::new(0));
    let ticks = Rc::new(Cell::new(0));
    let (own_starts, own_ticks) = (starts.clone(), ticks.clone());
    LocalSet::new().block_on(&runtime, async move {
        let failing = service::spawn("failing", move || {
            let starts = own_starts.clone();
            async move {
                starts.set(starts.get() + 1);
                assert!(starts.get() > 2, "input that the service can't bear");
            }
        });
        service::spawn("ticking", move || {
            let ticks = own_ticks.clone();
            async move {
                loop {
                    ticks.set(ticks.get() + 1);
                    sleep(Duration::from_millis(100)).await;
                }
            }
        });
        failing.await.expect("the service ends");
    });
    assert_eq!(starts.get(), 3, "two failures, and a run to the end");
    assert!(ticks.get() >= 10, "another service went on: {}", ticks.get());
}
