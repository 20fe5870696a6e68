//! The report as a self-contained HTML page: error budgets, completion time, fragmentation, racks.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::Value;

use crate::ledger::burn;

const CHART_WIDTH_PX: f64 = 640.0;
const CHART_HEIGHT_PX: f64 = 140.0;
const CELL_SIZE_PX: u64 = 16;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:70em;\
padding:0 1em;color:#1c2430}h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em}\
table{border-collapse:collapse;width:100%}th,td{padding:.3em .6em;text-align:right;\
border-bottom:1px solid #dde2e8}th:first-child,td:first-child,th:nth-child(2),td:nth-child(2)\
{text-align:left}.hot{background:#ffe3de;font-weight:600}.warm{background:#fff4d6}\
.miss{color:#5b6572;font-size:.92em;text-align:left}svg{background:#f7f9fb;border:1px solid #dde2e8}\
.racks{display:flex;flex-wrap:wrap;gap:1em}.rack{border:1px solid #c9d0d8;padding:.6em .8em}\
.rack b{display:block;margin-bottom:.3em}.w{display:flex;align-items:center;gap:.5em}\
.w span{min-width:7em;font-size:.85em}.key i{display:inline-block;width:12px;height:12px;\
margin:0 .3em 0 1em;vertical-align:-1px}@media(prefers-color-scheme:dark){body{background:#14181d;\
color:#dfe5ec}svg{background:#1b2027;border-color:#39424d}.hot{background:#5a241c}.warm\
{background:#4d4018}th,td,.rack{border-color:#39424d}}";

/// Colours of client accounts, assigned in order of name.
const COLOURS: [&str; 8] = [
    "#2f6fde", "#d9822b", "#2a9d68", "#9b51c7", "#c2413b", "#17a2b8", "#8a6d3b", "#6b7785",
];

/// Renders control's answer as an HTML page.
pub fn page(answer: &Value) -> String {
    let colours = assign_colours(answer);
    let mut out = String::from("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">");
    let _written = write!(
        out,
        "<meta name=\"viewport\" content=\"width=device-width\"><title>Error budget burn</title>\
         <style>{STYLE}</style><h1>Error budget burn</h1><p>Generation {} of the configuration.</p>",
        answer["generation"]
    );
    write_services(&mut out, answer);
    write_charts(&mut out, answer);
    write_racks(&mut out, answer, &colours);
    out + "</html>"
}

/// Assigns a colour to each account that holds accelerators or has some kept for it.
fn assign_colours(answer: &Value) -> BTreeMap<String, &'static str> {
    let mut names: Vec<String> = Vec::new();
    for worker in answer["workers"].as_array().into_iter().flatten() {
        for part in ["holders", "kept"] {
            let parts = worker[part].as_array().into_iter().flatten();
            names.extend(parts.filter_map(|part| part["account"].as_str().map(str::to_owned)));
        }
    }
    names.sort();
    names.dedup();
    let paired = names.into_iter().enumerate();
    paired
        .map(|(index, name)| (name, COLOURS[index % COLOURS.len()]))
        .collect()
}

fn write_services(out: &mut String, answer: &Value) {
    out.push_str("<h2>Budgets</h2><table><tr><th>Service<th>Account<th>Objective<th>Good<th>Bad<th>Budget left");
    for (name, _span) in burn::WINDOWS {
        let _written = write!(out, "<th>Burn {name}");
    }
    out.push_str("<th>Mean s</tr>");
    let lines = answer["lines"].as_array().cloned().unwrap_or_default();
    if lines.is_empty() {
        out.push_str("<tr><td colspan=\"11\">No request has ended yet.</tr>");
    }
    for line in &lines {
        write_row(out, line);
    }
    out.push_str("</table>");
}

fn write_row(out: &mut String, line: &Value) {
    let number = |name: &str| line[name].as_f64().unwrap_or(0.0);
    let _written = write!(
        out,
        "<tr><td>{}<td>{}<td>{:.2}% in {} s<td>{}<td>{}<td class=\"{}\">{:.1}%",
        text(&line["service"]),
        text(&line["account"]),
        number("objective") * 100.0,
        line["completion_s"],
        line["good"],
        line["bad"],
        if number("budget_left") < 0.0 {
            "hot"
        } else {
            ""
        },
        number("budget_left") * 100.0
    );
    for (name, _span) in burn::WINDOWS {
        let burn = line["burn"][name].as_f64().unwrap_or(0.0);
        let class = match burn {
            burn if burn >= 6.0 => "hot",
            burn if burn >= 1.0 => "warm",
            _ => "",
        };
        let _written = write!(out, "<td class=\"{class}\">{burn:.2}");
    }
    let _written = write!(out, "<td>{:.3}</tr>", number("mean_completion_s"));
    for miss in line["misses"].as_array().into_iter().flatten() {
        let _written = write!(
            out,
            "<tr><td class=\"miss\" colspan=\"11\">job {} after {:.1} s: {}</tr>",
            miss["job"],
            miss["completion_ms"].as_f64().unwrap_or(0.0) / 1_000.0,
            text(&miss["detail"])
        );
    }
}

fn write_charts(out: &mut String, answer: &Value) {
    let history = answer["history"].as_array().cloned().unwrap_or_default();
    fn series(history: &[Value], value: impl Fn(&Value) -> f64) -> Vec<(f64, f64)> {
        history
            .iter()
            .map(|slot| (slot["at_ms"].as_f64().unwrap_or(0.0), value(slot)))
            .collect()
    }
    let number = |slot: &Value, name: &str| slot[name].as_f64().unwrap_or(0.0);
    let bad = series(&history, |slot| {
        let total = number(slot, "good") + number(slot, "bad");
        if total == 0.0 {
            0.0
        } else {
            number(slot, "bad") / total * 100.0
        }
    });
    write_chart(
        out,
        "Requests that missed their objective, % by 5 minutes",
        &bad,
    );
    let mean = series(&history, |slot| number(slot, "mean_completion_s"));
    write_chart(out, "Mean completion time, s by 5 minutes", &mean);
    let samples = answer["fragmentation"].as_array().into_iter().flatten();
    let fragmentation: Vec<(f64, f64)> = samples
        .map(|sample| {
            (
                sample[0].as_f64().unwrap_or(0.0),
                sample[1].as_f64().unwrap_or(0.0),
            )
        })
        .collect();
    write_chart(out, "Fragmentation, % of free accelerators", &fragmentation);
}

/// Draws a line chart over time, with the maximum labelled on the left.
fn write_chart(out: &mut String, title: &str, points: &[(f64, f64)]) {
    let _written = write!(out, "<h2>{title}</h2>");
    let (Some(first), Some(last)) = (points.first(), points.last()) else {
        out.push_str("<p>Nothing was recorded yet.</p>");
        return;
    };
    let max = points
        .iter()
        .map(|point| point.1)
        .fold(0.0, f64::max)
        .max(f64::MIN_POSITIVE);
    let span_ms = (last.0 - first.0).max(1.0);
    let to_chart = |point: &(f64, f64)| {
        let x = 50.0 + (point.0 - first.0) / span_ms * (CHART_WIDTH_PX - 60.0);
        let y = CHART_HEIGHT_PX - 20.0 - point.1 / max * (CHART_HEIGHT_PX - 40.0);
        format!("{x:.1},{y:.1}")
    };
    let path: Vec<String> = points.iter().map(to_chart).collect();
    let _written = write!(
        out,
        "<svg viewBox=\"0 0 {CHART_WIDTH_PX} {CHART_HEIGHT_PX}\" width=\"{CHART_WIDTH_PX}\" height=\"{CHART_HEIGHT_PX}\" role=\"img\" \
         aria-label=\"{title}\"><text x=\"4\" y=\"24\" font-size=\"11\" fill=\"#7a8694\">{max:.2}\
         </text><text x=\"4\" y=\"{}\" font-size=\"11\" fill=\"#7a8694\">0</text><polyline \
         fill=\"none\" stroke=\"#2f6fde\" stroke-width=\"2\" points=\"{}\"/>",
        CHART_HEIGHT_PX - 18.0,
        path.join(" ")
    );
    if let Some(point) = path.last().and_then(|point| point.split_once(',')) {
        let _written = write!(
            out,
            "<circle cx=\"{}\" cy=\"{}\" r=\"3\" fill=\"#2f6fde\"/>",
            point.0, point.1
        );
    }
    let minutes = span_ms / 60_000.0;
    let _written = write!(
        out,
        "<text x=\"50\" y=\"{}\" font-size=\"11\" fill=\"#7a8694\">{minutes:.0} minutes up to now\
         </text></svg>",
        CHART_HEIGHT_PX - 4.0
    );
}

fn write_racks(out: &mut String, answer: &Value, colours: &BTreeMap<String, &'static str>) {
    out.push_str("<h2>Racks</h2><p class=\"key\">Filled: in use; striped: borrowed; outlined: kept for a guarantee.");
    for (name, colour) in colours {
        let _written = write!(out, "<i style=\"background:{colour}\"></i>{}", escape(name));
    }
    out.push_str("</p><svg width=\"0\" height=\"0\" style=\"position:absolute\"><defs>");
    for (index, colour) in COLOURS.iter().enumerate() {
        let _written = write!(
            out,
            "<pattern id=\"p{index}\" width=\"6\" height=\"6\" patternUnits=\"userSpaceOnUse\" \
             patternTransform=\"rotate(45)\"><rect width=\"3\" height=\"6\" fill=\"{colour}\"/></pattern>"
        );
    }
    out.push_str("</defs></svg><div class=\"racks\">");
    let mut by_rack: BTreeMap<String, Vec<&Value>> = BTreeMap::new();
    for worker in answer["workers"].as_array().into_iter().flatten() {
        let rack = format!("{} / {}", text(&worker["region"]), text(&worker["rack"]));
        by_rack.entry(rack).or_default().push(worker);
    }
    for (rack, mut workers) in by_rack {
        workers.sort_by_key(|worker| worker["name"].as_str().unwrap_or_default().to_owned());
        let _written = write!(out, "<div class=\"rack\"><b>{rack}</b>");
        for worker in workers {
            write_worker(out, worker, colours);
        }
        out.push_str("</div>");
    }
    out.push_str("</div>");
}

/// Draws one square for each accelerator: those in use, those kept for a guarantee, the rest.
fn write_worker(out: &mut String, worker: &Value, colours: &BTreeMap<String, &'static str>) {
    let total = worker["accelerators"].as_u64().unwrap_or(0);
    let mut cells: Vec<String> = Vec::new();
    for holder in worker["holders"].as_array().into_iter().flatten() {
        let name = holder["account"].as_str().unwrap_or_default();
        let colour = colours.get(name).copied().unwrap_or(COLOURS[0]);
        let index = COLOURS
            .iter()
            .position(|other| *other == colour)
            .unwrap_or(0);
        let fill = if holder["guaranteed"] == true {
            colour.to_owned()
        } else {
            format!("url(#p{index})")
        };
        let title = format!("job {} of {}", holder["job"], escape(name));
        for _cell in 0..holder["accelerators"].as_u64().unwrap_or(0) {
            cells.push(format!(
                "fill=\"{fill}\" stroke=\"{colour}\"><title>{title}</title>"
            ));
        }
    }
    for kept in worker["kept"].as_array().into_iter().flatten() {
        if kept["in_use"] == true {
            continue;
        }
        let name = kept["account"].as_str().unwrap_or_default();
        let colour = colours.get(name).copied().unwrap_or(COLOURS[0]);
        for _cell in 0..kept["accelerators"].as_u64().unwrap_or(0) {
            if (cells.len() as u64) < total {
                let title = format!("kept for {}", escape(name));
                cells.push(format!(
                    "fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"><title>{title}</title>"
                ));
            }
        }
    }
    cells.resize(
        total as usize,
        "fill=\"none\" stroke=\"#b5bec9\">".to_owned(),
    );
    let state = match (worker["up"] == true, worker["quarantined"] == true) {
        (false, _) => " (down)",
        (true, true) => " (quarantined)",
        (true, false) => "",
    };
    let width = total.max(1) * CELL_SIZE_PX;
    let _written = write!(
        out,
        "<div class=\"w\"><span>{}{state}</span><svg width=\"{width}\" height=\"{CELL_SIZE_PX}\">",
        text(&worker["name"])
    );
    for (index, cell) in cells.iter().enumerate() {
        let (x, side) = (index as u64 * CELL_SIZE_PX + 1, CELL_SIZE_PX - 3);
        let _written = write!(
            out,
            "<rect x=\"{x}\" y=\"1\" width=\"{side}\" height=\"{side}\" {cell}</rect>"
        );
    }
    out.push_str("</svg></div>");
}

fn text(value: &Value) -> String {
    escape(value.as_str().unwrap_or("?"))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
