fn main() {
    let n: usize = std::env::args().nth(1).unwrap().parse().unwrap();
    let t = std::time::Instant::now();
    println!("{} {:?}", azurestand_bench::control::measure(n, 5), t.elapsed());
}
