//! The simulator adapter: messages in both directions, and errors for malformed input.

use std::io::Write;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

const SETTINGS: &str = r#"{"fleetSize":1,"me":0,"family":"conn","discovery":"pushed","unknownKey":{"a":[1]},
"services":[{"name":"feed","effect":"idempotent","aimUs":300000,"hardLimitUs":1000000,"worth":1.0,"stream":true}],
"zones":["x","y"],"zone":"x","shapes":["big"],"telemetry":{"source":"pull","columns":["x0"]},
"permissions":{"probing":true,"maxAttempts":3},
"rules":{"startCapacity":0.2,"coldUs":1000000,"overloadFactor":3.0,"fallUs":1000000,"stopSendingWithinUs":500000}}"#;

/// Runs the adapter on an input. Returns its exit status, its replies and standard error.
fn run_adapter(input: &str) -> (Option<i32>, Vec<Value>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_honeyknot-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // An adapter that has ended with an error does not read the rest of the input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the adapter ends");
    let lines = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let replies =
        lines.lines().map(|line| serde_json::from_str(line).expect("each line is valid JSON")).collect();
    (output.status.code(), replies, String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Returns a batch that configures an instance and gives it a list with one endpoint.
fn startup_batch() -> String {
    let settings = SETTINGS.replace('\n', "");
    format!(
        r#"["round",5000000,1]
["configure","balancer_0",7,{settings}]
["page",3,[["big",1.0,"10.0.0.1:80",null,"x",0,"Ready"]]]
["targets","balancer_0",1,3,"remembered"]
["go"]
"#
    )
}

fn messages_named<'a>(replies: &'a [Value], name: &str) -> Vec<&'a Value> {
    replies.iter().filter(|message| message[0] == name).collect()
}

#[test]
fn a_request_triggers_a_health_check_and_is_assigned_once_it_succeeds() {
    let input = startup_batch()
        + r#"["round",6000000,2]
["jobIn","balancer_0",12,null,1000000,"feed",false,false,null,false,null,"s-1"]
["go"]
["round",6002000,3]
["healthResult","balancer_0","10.0.0.1:80",200,1500,{"x0":0.3,"odd":1}]
["go"]
["round",6010000,4]
["headers","balancer_0",12,0,"10.0.0.1:80",8000]
["hintUpdate","balancer_0",12,0,"10.0.0.1:80",1,900.5]
["go"]
["round",9000000,5]
["verdict","balancer_0",12,200,0,true,"10.0.0.1:80",2998000,null]
["dropped","balancer_0",12]
["go"]
"#;
    let (code, replies, errors) = run_adapter(&input);
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    assert_eq!(messages_named(&replies, "probe"), [&json!(["probe", "balancer_0", "10.0.0.1:80"])]);
    assert_eq!(
        messages_named(&replies, "handOff"),
        [&json!(["handOff", "balancer_0", 12, "10.0.0.1:80", 300_000])]
    );
    let finished_batches: Vec<&Value> = messages_named(&replies, "finished").iter().map(|r| &r[1]).collect();
    assert_eq!(finished_batches, [1, 2, 3, 4, 5]);
}

#[test]
fn a_reused_list_number_refers_to_the_newest_list() {
    let input = startup_batch()
        + r#"["round",6000000,2]
["page",3,[["big",1.0,"10.0.0.1:80",null,"x",0,"Gone"]]]
["targets","balancer_0",2,3,"changes"]
["page",3,[["big",1.0,"10.0.0.2:80",null,"y",0,"Ready"]]]
["targets","balancer_0",3,3,"changes"]
["jobIn","balancer_0",1,null,1000000,"feed"]
["go"]
["round",6002000,3]
["healthResult","balancer_0","10.0.0.2:80",200,1500,{"x0":0.2}]
["go"]
"#;
    let (code, replies, _) = run_adapter(&input);
    assert_eq!(code, Some(0));
    assert_eq!(messages_named(&replies, "handOff")[0][3], "10.0.0.2:80");
}

#[test]
fn a_handed_over_connection_is_migrated_when_its_endpoint_drains() {
    let mut input = startup_batch()
        + r#"["round",6000000,2]
["handover","balancer_0",9,"s-9",false,"10.0.0.1:80",false,null,"feed",null,null,1000000,false]
["page",4,[["big",1.0,"10.0.0.1:80",null,"x",0,"Terminating"]]]
["targets","balancer_0",2,4,"changes"]
["go"]
"#;
    for i in 0..40 {
        let at = 6_200_000 + i * 200_000;
        input += &format!("[\"round\",{at},{}]\n[\"reminder\",\"balancer_0\",0]\n[\"go\"]\n", i + 3);
    }
    let (code, replies, _) = run_adapter(&input);
    assert_eq!(code, Some(0));
    assert_eq!(messages_named(&replies, "goAway"), [&json!(["goAway", "balancer_0", 9])]);
    assert!(messages_named(&replies, "handOff").is_empty());
}

#[test]
fn an_event_for_a_killed_instance_is_an_error() {
    let input = startup_batch()
        + "[\"round\",6000000,2]\n[\"kill\",\"balancer_0\"]\n[\"dropped\",\"balancer_0\",1]\n[\"go\"]\n";
    let (code, _, errors) = run_adapter(&input);
    assert_eq!(code, Some(2));
    assert!(errors.contains("batch 2, line 3"), "{errors}");
}

#[test]
fn malformed_input_ends_the_adapter_with_a_one_line_error_and_only_whole_batches_of_output() {
    let cases = [
        ("this is no JSON", "the line is not valid JSON"),
        ("{\"a\":1}", "a message must be a JSON array"),
        ("[\"nonsense\",\"balancer_0\"]", "unknown message"),
        ("[\"dropped\",\"balancer_0\"]", "missing"),
        ("[\"dropped\",\"balancer_0\",1,2]", "values"),
        ("[\"dropped\",\"balancer_0\",\"one\"]", "whole number"),
        ("[\"dropped\",\"balancer_0\",5000000000]", "below 2^32"),
        ("[\"reminder\",\"balancer_8\",1]", "not configured"),
        ("[\"kill\",\"balancer_8\"]", "not configured"),
        ("[\"verdict\",\"balancer_0\",1,201,0,true,\"10.0.0.1:80\",1,null]", "known outcome"),
        ("[\"targets\",\"balancer_0\",2,9,\"changes\"]", "never sent"),
        ("[\"targets\",\"balancer_0\",2,3,\"some\"]", "kind of list"),
        ("[\"jobIn\",\"balancer_0\",1,null,1000,\"other\"]", "known class"),
        ("[\"hintUpdate\",\"balancer_0\",1,0,\"10.0.0.1:80\",3,1]", "kind of update"),
        ("[\"fromPeer\",\"balancer_0\",1,\"abc\"]", "hex"),
        ("[\"page\",1,[[\"big\",1,\"s:1\",0,\"x\",0,\"Odd\"]]]", "known state"),
        ("[\"configure\",\"balancer_1\",1,{\"fleetSize\":\"many\"}]", "fleetSize"),
        ("[\"configure\",\"balancer_1\",1,{\"rules\":{\"startCapacity\":3}}]", "`rules.startCapacity`"),
        ("[\"round\",1,1]", "inside another"),
    ];
    for (line, expected) in cases {
        let (code, replies, errors) =
            run_adapter(&format!("{}[\"round\",6000000,2]\n{line}\n", startup_batch()));
        assert_eq!(code, Some(2), "{line}");
        assert_eq!(errors.lines().count(), 1, "{line}: {errors}");
        assert!(errors.contains("batch 2, line 2") && errors.contains(expected), "{line}: {errors}");
        assert_eq!(replies.last(), Some(&json!(["finished", 1])), "{line}");
    }
}

#[test]
fn an_event_outside_a_batch_and_an_unfinished_batch_are_errors() {
    assert_eq!(run_adapter("[\"go\"]\n").0, Some(2));
    assert_eq!(run_adapter("[\"round\",1,1]\n").0, Some(2));
    assert_eq!(run_adapter("").0, Some(0));
}

#[test]
fn an_instance_acts_the_same_alone_and_beside_others() {
    let settings = SETTINGS.replace('\n', "");
    let replies_of_a = |ids: &[&str]| {
        let mut input = "[\"round\",5000000,1]\n".to_owned();
        for id in ids {
            input += &format!("[\"configure\",\"{id}\",7,{settings}]\n");
        }
        input += "[\"page\",0,[[\"big\",1,\"s:1\",null,\"x\",0,\"Ready\"],[\"big\",1,\"s:2\",null,\"y\",0,\"Ready\"]]]\n";
        for id in ids {
            input += &format!("[\"targets\",\"{id}\",1,0,\"remembered\"]\n");
            input += &format!("[\"jobIn\",\"{id}\",1,null,1000000,\"feed\"]\n");
        }
        input += "[\"go\"]\n";
        let is_for_a = |reply: &&Value| reply[1] == "balancer_a";
        let (_, replies, _) = run_adapter(&input);
        replies.iter().filter(is_for_a).cloned().collect::<Vec<Value>>()
    };
    let alone = replies_of_a(&["balancer_a"]);
    assert!(!alone.is_empty());
    assert_eq!(alone, replies_of_a(&["balancer_b", "balancer_a", "balancer_c"]));
}
