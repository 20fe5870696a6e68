//! Logs whose reader has stopped.

use std::io::Write;
use std::sync::mpsc;

use oriolereel::telemetry;

/// An output that takes nothing until it is released, as a full pipe does.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // An error tells that the test has ended.
        let _ended = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_log_that_nobody_reads_holds_up_nobody_and_counts_what_it_drops() {
    const LINES: u64 = 20_000;
    let (release, stuck) = mpsc::channel();
    let mut ring = telemetry::Ring::start(Stuck(stuck));
    let before = telemetry::LOG_DROPPED.get();
    for _line in 0..LINES {
        ring.write_all(b"{}\n").expect("a ring takes every line");
    }
    let dropped = telemetry::LOG_DROPPED.get() - before;
    assert!(dropped > LINES / 2, "only {dropped} lines were dropped");
    drop(release);
}
