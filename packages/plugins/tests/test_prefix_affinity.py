import random

from nutmegdrum.balancing import Candidate
from nutmegdrum.messages import CacheChange, CacheEvent
from nutmegdrum.plugins import Kind, load_plugins
from nutmegdrum.routing_query import RouteQuery
from nutmegdrum_plugins.prefix_affinity import PrefixBalancer, prefix_digests

PROMPT = "hive history " * 40


def pick(balancer, prompt=PROMPT, loads=(0.1, 0.1, 0.1)):
    candidates = [Candidate(f"b{n}", load) for n, load in enumerate(loads)]
    query = RouteQuery(model="m", workspace="w", prompt=prompt, generation="g")
    return balancer.pick(query, candidates, random.Random(1)).id


def send_stored_events(balancer, backend, *sequences, prompt=PROMPT):
    digests = prefix_digests(prompt)
    balancer.on_cache_events(
        backend,
        [
            CacheEvent(sequence=n, change=CacheChange.STORED, prefix=digests[n % len(digests)])
            for n in sequences
        ],
    )


class TestPrefixBalancer:
    def test_prompts_with_a_common_prefix_go_to_one_server_without_hints(self):
        picked = {pick(PrefixBalancer(), PROMPT + str(n)) for n in range(20)}
        assert len(picked) == 1

    def test_holder_of_the_longest_prefix_is_preferred(self):
        balancer = PrefixBalancer()
        send_stored_events(balancer, "b0", 0)
        send_stored_events(balancer, "b1", 0, 1, 2)
        send_stored_events(balancer, "b2", 0, 1)
        assert pick(balancer) == "b1"

    def test_busy_holder_is_skipped(self):
        balancer = PrefixBalancer()
        send_stored_events(balancer, "b1", 0, 1, 2)
        assert pick(balancer, loads=(0.1, 0.9, 0.1)) != "b1"

    def test_gap_in_the_sequence_numbers_drops_the_hints(self):
        balancer = PrefixBalancer()
        send_stored_events(balancer, "b1", 0, 1, 2)
        send_stored_events(balancer, "b2", 0)
        send_stored_events(balancer, "b1", 9_999, prompt="other " * 400)
        assert pick(balancer) == "b2"

    def test_evicted_prefix_is_ignored(self):
        balancer = PrefixBalancer()
        send_stored_events(balancer, "b0", 0)
        send_stored_events(balancer, "b1", 0, 1)
        event = CacheEvent(sequence=2, change=CacheChange.EVICTED, prefix=prefix_digests(PROMPT)[1])
        balancer.on_cache_events("b1", [event])
        send_stored_events(balancer, "b0", 1)
        assert pick(balancer) == "b0"

    def test_short_prompts_are_routed_by_load(self):
        assert pick(PrefixBalancer(), "hi", loads=(0.9, 0.9, 0.0)) == "b2"


class TestPlugins:
    def test_options_reach_the_balancer(self):
        registry = load_plugins(["least_loaded"], {"least_loaded": {"choices": 3}})
        balancer = registry.get(Kind.ROUTING, "least_loaded")
        assert pick(balancer, loads=(0.9, 0.5, 0.1)) == "b2"
