//! The program's command line.

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

use signal_hook::consts::SIGTERM;
use standin::control;
use test_case::test_case;

const PROGRAM: &str = env!("CARGO_BIN_EXE_laburnum-standin");

#[test_case(&["--help"] => Some(0))]
#[test_case(&["engine", "--help"] => Some(0))]
#[test_case(&["--version"] => Some(0))]
#[test_case(&[] => Some(2); "no command")]
#[test_case(&["engine"] => Some(2); "no address")]
#[test_case(&["engine", "--listen", "here"] => Some(2); "malformed address")]
#[test_case(&["router"] => Some(2); "unknown command")]
#[test_case(&["platform", "--listen", "192.0.2.1:0"] => Some(1); "address of another host")]
fn exit_codes(words: &[&str]) -> Option<i32> {
    Command::new(PROGRAM).args(words).output().unwrap().status.code()
}

#[test_case(&["platform"], "/hosts")]
#[test_case(&["engine", "--models", "m:a:1,n"], "/state")]
#[test_case(&["service"], "/control/counts")]
fn serves_until_it_is_told_to_end(words: &[&str], path: &str) {
    let mut program = Command::new(PROGRAM)
        .args(words)
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(program.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening address=").unwrap().parse().unwrap();
    control::get(address, path).unwrap();
    let mut kill = Command::new("kill");
    kill.args([&format!("-{SIGTERM}"), &program.id().to_string()]);
    assert!(kill.status().unwrap().success());
    assert_eq!(program.wait().unwrap().code(), Some(0));
}
