"""Applies what an ended request says about its servers."""

from bulrushrudder.placement import events


def record(event, allocation, pools, ages, now_s):
    """Update the pace and failure share of the servers of a request.

    :param event: the PlaceReleased event.
    :param allocation: the Allocation of the request.
    :param pools: the PrefillPool and the DecodePool.
    :param ages: the FigureAges.
    """
    prefills, decodes = pools
    if event.prefill_failed:
        prefills.record_failure(allocation.prefill, now_s)
    elif event.prefill_s > 0:
        ages.record(allocation.prefill, now_s)
        prefills.record_prefill(
            allocation.prefill, allocation.prompt_tokens, event.prefill_s
        )
    if event.token_s > 0:
        ages.record(allocation.decode, now_s)
        decodes.record_token_time(allocation.decode, event.token_s, now_s)
    if event.verdict is not events.Verdict.UNKNOWN:
        failed = event.verdict is events.Verdict.FAILED
        decodes.record_result(allocation.decode, failed, now_s)
