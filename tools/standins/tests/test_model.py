"""Tests of the engine model on an event loop with virtual time."""

import asyncio
import selectors
import unittest

from masticdale_standins import EngineModel, ModelSettings, create_call
from masticdale_standins.model import Phase

SETTINGS = ModelSettings(
    slots=2,
    prefill_tokens_per_s=100,
    decode_tokens_per_s=10,
    decode_slowdown=1.0,
    block_tokens=5,
)


class _NonBlockingSelector(selectors.DefaultSelector):
    loop = None

    def select(self, timeout=None):
        self.loop.now += timeout or 0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that advances its clock to the next timer."""

    def __init__(self):
        self.now = 0.0
        selector = _NonBlockingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now


def call(prompt_tokens, max_tokens, program_id="p"):
    prompt = (program_id * 4 * prompt_tokens,)
    return create_call(program_id, "main", prompt, max_tokens, 5)


def run(scenario):
    """Runs a scenario with a running model and returns its result."""

    async def main():
        model = EngineModel(SETTINGS)
        worker = asyncio.create_task(model.run())
        result = await scenario(model, asyncio.get_running_loop())
        worker.cancel()
        return result

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())


class EngineModelTest(unittest.TestCase):
    def test_a_call_alone_takes_prefill_and_decode(self):
        async def scenario(model, loop):
            generation = model.submit(call(100, 1))
            await generation.ended.wait()
            first_s = loop.time()
            again = model.submit(call(100, 1))
            await again.ended.wait()
            return first_s, loop.time() - first_s, again.cached_tokens

        first_s, again_s, cached = run(scenario)
        self.assertAlmostEqual(first_s, 1.0 + 0.1, places=3)
        self.assertAlmostEqual(again_s, 0.1, places=3)
        self.assertEqual(cached, 100)

    def test_a_full_batch_slows_decoding_and_makes_others_wait(self):
        async def scenario(model, loop):
            calls = [model.submit(call(0, 1, p)) for p in "abc"]
            ends = []
            for generation in calls:
                await generation.ended.wait()
                ends.append(round(loop.time(), 3))
            return ends

        self.assertEqual(run(scenario), [0.2, 0.2, 0.3])

    def test_a_crash_ends_all_calls_and_loses_the_cache(self):
        async def scenario(model, loop):
            await model.submit(call(100, 1)).ended.wait()
            calls = [model.submit(call(10, 50, p)) for p in "abc"]
            await asyncio.sleep(0.5)
            model.crash()
            again = model.submit(call(100, 1))
            await again.ended.wait()
            return calls, again.cached_tokens, model.stats

        calls, cached, stats = run(scenario)
        self.assertEqual({c.phase for c in calls}, {Phase.CRASHED})
        self.assertEqual(cached, 0)
        self.assertEqual(stats.recomputed_tokens, 100)

    def test_a_cancelled_call_frees_its_slot(self):
        async def scenario(model, loop):
            calls = [model.submit(call(0, 1000, p)) for p in "ab"]
            last = model.submit(call(0, 1, "c"))
            await asyncio.sleep(1)
            self.assertGreater(model.generated_tokens(calls[0]), 0)
            for generation in calls:
                model.cancel(generation)
            await last.ended.wait()
            return loop.time()

        self.assertAlmostEqual(run(scenario), 1.1, places=3)


if __name__ == "__main__":
    unittest.main()
