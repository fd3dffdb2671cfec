use super::set_service;

const TEXT: &str = "# Network team.\n[data_centres.tov]\nregion = \"west\" # near the store\n\n\
    # The depot.\n[data_centres.khentii]\nin_service = true   # storm watch\nregion = \"east\"\n";

#[test]
fn only_the_one_value_changes() {
    let out = set_service(TEXT, &"khentii".try_into().unwrap(), false).unwrap();
    assert_eq!(
        out,
        TEXT.replace("in_service = true ", "in_service = false ")
    );
    let back = set_service(&out, &"khentii".try_into().unwrap(), true).unwrap();
    assert_eq!(back, TEXT);
}

#[test]
fn a_missing_key_is_added() {
    let out = set_service(TEXT, &"tov".try_into().unwrap(), false).unwrap();
    let expected = TEXT.replace(
        "# near the store\n",
        "# near the store\nin_service = false\n",
    );
    assert_eq!(out, expected);
}

#[test]
fn an_inline_table_is_edited_too() {
    let text = "[data_centres]\ntov = { region = \"west\" }\n";
    let out = set_service(text, &"tov".try_into().unwrap(), false).unwrap();
    assert_eq!(
        out,
        "[data_centres]\ntov = { region = \"west\" , in_service = false }\n"
    );
}

#[test]
fn an_unlisted_data_centre_is_not_added() {
    assert_eq!(set_service(TEXT, &"tok".try_into().unwrap(), false), None);
}
