"""Randomized fault injection: real router processes among faulty peers, judged by an oracle from outside."""
