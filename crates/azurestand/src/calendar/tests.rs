use super::date;

#[test]
fn dates_follow_the_calendar() {
    assert_eq!(date(0), "1970-01-01T00:00:00Z");
    assert_eq!(date(951_782_399), "2000-02-28T23:59:59Z");
    assert_eq!(date(951_782_400), "2000-02-29T00:00:00Z");
    assert_eq!(date(951_868_800), "2000-03-01T00:00:00Z");
    assert_eq!(date(1_735_689_599), "2024-12-31T23:59:59Z");
    assert_eq!(date(4_107_542_400), "2100-03-01T00:00:00Z");
}
