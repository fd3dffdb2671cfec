//! Target choice, account limits and retry budgets.
