import pytest
from hypothesis import given
from hypothesis import strategies as st
from nutmegdrum_testing.tokens import (
    ChainError,
    check_chain,
    expected_tokens,
    next_token,
    split_tokens,
)

PROMPT = "hive 7, brood frames"


def answer(nonce: str, count: int) -> list[str]:
    tokens: list[str] = []
    previous = PROMPT
    for index in range(count):
        previous = next_token(previous, nonce, index)
        tokens.append(previous)
    return tokens


class TestCheckChain:
    def test_complete_answer_has_one_attempt(self):
        assert check_chain(PROMPT, answer("aa", 20), 20) == 1

    def test_a_resumed_answer_has_two_attempts(self):
        tokens = answer("aa", 5)
        for index in range(5, 9):
            tokens.append(next_token(tokens[-1], "bb", index))
        assert check_chain(PROMPT, tokens) == 2

    @given(st.integers(0, 18), st.sampled_from(["drop", "repeat", "swap", "mix", "spoil"]))
    def test_any_damage_is_found(self, place, damage):
        tokens = answer("aa", 20)
        if damage == "drop":
            del tokens[place]
        elif damage == "repeat":
            tokens.insert(place, tokens[place])
        elif damage == "swap":
            tokens[place], tokens[place + 1] = tokens[place + 1], tokens[place]
        elif damage == "mix":
            tokens[place:] = answer("bb", 20)[place:] if place else answer("bb", 20)[:10]
        else:
            tokens[place] += "x"
        with pytest.raises(ChainError):
            check_chain(PROMPT, tokens, 20)

    def test_missing_last_token_is_detected(self):
        with pytest.raises(ChainError):
            check_chain(PROMPT, answer("aa", 19), 20)


class TestExpectedTokens:
    def test_answer_depends_only_on_prompt_and_seed(self):
        assert expected_tokens("a", 1, 9) == expected_tokens("a", 1, 9)
        assert expected_tokens("a", 1, 9) != expected_tokens("a", 2, 9)
        assert check_chain("a", expected_tokens("a", 1, 9), 9) == 1

    def test_joined_tokens_can_be_split(self):
        tokens = expected_tokens("a", 1, 9)
        assert split_tokens("".join(tokens)) == tokens
