//! A runner in trouble: in the middle of an event of a stream it sends bytes that are no answer,
//! without end, until the caller closes. The stream may be resumed and goes on at another runner.

#[path = "../standin/common.rs"]
mod common;

use std::{
    io::Write as _,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use common::*;

const EVENTS: usize = 20;
const RUNNERS: usize = 12;
const STREAMS: usize = 24;
/// Events after which the runner in trouble sends bytes that are no answer.
const WHOLE_EVENTS: usize = 5;

fn main() {
    let (folder, trouble) = arguments();
    let record = Record::create(&format!("{folder}/record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-1-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let store = Store::start();
    store.put("op", "config", &config("huvo11a"));
    let log = record.clone();
    let service = Service {
        store: store.clone(),
        name: "huvo11a",
        record: record.clone(),
        down: Duration::from_secs(3),
        keeps_id: false,
        handler: Arc::new(move |serving: Serving<'_>| {
            let Serving { id: runner, number, request, out, .. } = serving;
            let id = request.header("request-id").to_owned();
            let last: usize = request.header("last-event-id").parse().unwrap_or(0);
            log.line(&format!("runner {number} ({runner}) runs {id}, after event {last}"));
            thread::sleep(Duration::from_millis(40));
            if out.write_all(stream_head(request).as_bytes()).is_err() {
                return Then::Close;
            }
            for place in last + 1..=EVENTS {
                if trouble && number == 0 && place > WHOLE_EVENTS {
                    let start = event(&id, place)[..14].to_owned();
                    let _ = out.write_all(chunk(&start).as_bytes());
                    log.line(&format!("runner {number} sends {id} bytes that are no answer"));
                    let mut bytes = 0;
                    while out.write_all(chunk(&"#".repeat(16 * 1024)).as_bytes()).is_ok() {
                        bytes += 16 * 1024;
                        thread::sleep(Duration::from_millis(5));
                    }
                    log.line(&format!(
                        "runner {number}: the caller of {id} has closed, after {bytes} such bytes"
                    ));
                    return Then::Close;
                }
                if out.write_all(chunk(&event(&id, place)).as_bytes()).is_err() {
                    return Then::Close;
                }
                thread::sleep(Duration::from_millis(30));
            }
            match out.write_all(b"0\r\n\r\n") {
                Ok(()) => Then::KeepOpen,
                Err(_) => Then::Close,
            }
        }),
    };
    let zones = ["occidente-a", "occidente-b", "occidente-c"];
    (0..RUNNERS).for_each(|number| service.start_runner(number, zones[number % 3]));
    thread::sleep(Duration::from_millis(300));
    let text = temporary.to_str().unwrap().to_owned();
    let start =
        |place: usize| Host::start(&store, &text, &format!("front-{place}"), zones[place], &zones);
    let hosts: Vec<Host> = (0..3).map(start).collect();
    hosts.iter().for_each(Host::wait_until_ready);
    thread::sleep(Duration::from_secs(3));
    let (whole, broken, wrong) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (front, record) = (hosts[number % hosts.len()].front, &record);
            let (whole, broken, wrong) = (&whole, &broken, &wrong);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(100 * number as u64));
                let id = format!("9c41d07be2a3{number:04x}");
                let prefix =
                    format!("5c1e07a2:800,{:x}:410,e4{number:06x}:250", 0x91bd_3f06 + number);
                record.line(&format!("client sends {id}"));
                let answer = call(
                    front,
                    "POST",
                    "/review/1f",
                    &generation(&id, "1460,200", &prefix),
                    "body",
                );
                let Some(answer) = answer.filter(|answer| answer.status() == 200) else {
                    broken.fetch_add(1, Ordering::SeqCst);
                    return record.line(&format!("client gets no success for {id}"));
                };
                let expected: String = (1..=EVENTS).map(|place| event(&id, place)).collect();
                let body = String::from_utf8_lossy(&answer.body);
                let pieces: Vec<&str> = body.split_inclusive("\n\n").collect();
                let outcome = match answer.complete {
                    false => {
                        broken.fetch_add(1, Ordering::SeqCst);
                        "broken off".to_owned()
                    }
                    true if body == expected => {
                        whole.fetch_add(1, Ordering::SeqCst);
                        "complete, as the runners made it".to_owned()
                    }
                    true => {
                        wrong.fetch_add(1, Ordering::SeqCst);
                        let at = (1..=EVENTS)
                            .find(|place| pieces.get(place - 1) != Some(&&*event(&id, *place)));
                        let at = at.unwrap_or(EVENTS + 1);
                        let piece = pieces.get(at - 1).copied().unwrap_or_default();
                        let end = piece.len().saturating_sub(90);
                        format!(
                            "COMPLETE, but piece {at} has {} bytes and is {:?} .. {:?}",
                            piece.len(),
                            &piece[..piece.len().min(40)],
                            &piece[end..]
                        )
                    }
                };
                record.line(&format!(
                    "client gets 200 for {id}, seal {}, {} bytes, {outcome}",
                    answer.header("response-seal"),
                    answer.body.len()
                ));
            });
        }
    });
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let text = format!(
        "{} streams: {} whole, {} not served or broken off, {} complete with other bytes than the runners' events",
        STREAMS,
        count(&whole),
        count(&broken),
        count(&wrong)
    );
    record.line(&text);
    println!("{text}");
    drop(hosts);
    let _ = std::fs::remove_dir_all(&temporary);
    if count(&whole) == 0 {
        cannot_run("no stream was served");
    }
    std::process::exit(i32::from(count(&wrong) > 0));
}
