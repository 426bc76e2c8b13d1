"""What a call and a change of the list cost, by the number of servers."""
