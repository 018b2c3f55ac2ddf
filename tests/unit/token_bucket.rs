use super::TokenBucket;

#[test]
fn bucket_is_refilled_up_to_the_burst() {
    let mut bucket = TokenBucket { level: 1.0, updated_at: 10.0 };
    assert_eq!(bucket.refill(11.5, 2.0, 5.0), 4.0);
    assert_eq!((bucket.level, bucket.updated_at), (4.0, 11.5));
    assert_eq!(bucket.refill(100.0, 2.0, 5.0), 5.0);
}

#[test]
fn negative_level_is_refilled_first() {
    let mut bucket = TokenBucket { level: -3.0, updated_at: 0.0 };
    assert_eq!(bucket.refill(2.0, 1.0, 5.0), -1.0);
    assert_eq!(bucket.refill(4.0, 1.0, 5.0), 1.0);
}
