pub fn run(r: crate::local::Record, t: bool) -> Result<bool,String> { Err("todo".into()) }
