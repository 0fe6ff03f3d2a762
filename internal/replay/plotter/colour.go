package plotter

import "image/color"

// colours are distinguishable also for readers with colour vision deficiency.
var colours = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
}

func policyColour(i int) color.Color { return colours[i%len(colours)] }
