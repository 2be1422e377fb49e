//! Parsing of the operator file `sites.conf` and its errors.

use honeyknot_balancer::Micros;
use honeyknot_zone_failover::{RetryAfterRange, ZoneFailoverConfig};

const S: Micros = 1_000_000;

fn zone_names() -> Vec<String> {
    ["accra-north", "accra-east", "tema", "kasoa"].map(str::to_owned).to_vec()
}

#[test]
fn example_file_is_valid() {
    let example =
        ZoneFailoverConfig::read("sites.conf", include_str!("../../../deploy/sites.conf"), &zone_names());
    let config = example.expect("a valid example file");
    assert_eq!(config.tiers["tema"], [vec!["accra-east", "accra-north"], vec!["kasoa"]]);
    assert_eq!(
        (config.spill_limit, config.ramp_duration, config.retry_after),
        (0.25, 9 * S, RetryAfterRange { min: 150_000, max: 600_000 })
    );
}

#[test]
fn all_errors_of_a_file_are_reported_together() {
    let text = "spill-limit 130%\nprefer tema {\n  tier tema accra\n}\nyield-at 90%\nmoves 4\ncome-back 2s 1s\n\
                relays tema 1\nrelays tema 2\nprefer kasoa\n";
    let errors =
        ZoneFailoverConfig::read("s.conf", text, &zone_names()).expect_err("an invalid file").to_string();
    let lines: Vec<&str> = errors.lines().collect();
    let expected = [
        "s.conf:1:13: `spill-limit`: `130%`: allowed is 0% to 100%",
        "s.conf:3:8: the site `tema` is already listed in this `prefer` block",
        "s.conf:3:13: `site`: `accra`: no such site; the settings name accra-north, accra-east, tema, kasoa",
        "s.conf:5:1: `yield-at` (90%) must not be above `give-back-at` (85%)",
        "s.conf:6:7: `moves`: `4`: not a rate such as 2/s, 90/m or 10/h",
        "s.conf:7:11: `come-back`: the minimum is longer than the maximum",
        "s.conf:9:8: `relays tema` is given more than once",
        "s.conf:10:1: `prefer` needs a block: `prefer ... {`",
    ];
    assert_eq!(lines, expected);
}
